package core

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
)

// Loops over maps that produce actions use sorted order, so that the same events give
// the same actions and a failing trace can be replayed.

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// sortedAttempts returns the values of m that match, in order of their attempt IDs.
func sortedAttempts[V any](m map[api.AttemptID]V, matches func(V) bool) []V {
	var ids []api.AttemptID
	for id, v := range m {
		if matches(v) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareAttempts)
	list := make([]V, len(ids))
	for i, id := range ids {
		list[i] = m[id]
	}
	return list
}

func compareAttempts(a, b api.AttemptID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Number, b.Number),
	)
}

func compareRefs(a, b api.EntryRef) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// anyAttempt matches every value in sortedAttempts.
func anyAttempt[V any](V) bool { return true }
