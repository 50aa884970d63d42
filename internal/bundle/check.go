package bundle

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/fulmarlatch/fulmarlatch/internal/api"
	"github.com/fulmarlatch/fulmarlatch/internal/strictjson"
)

// Limits of a bundle, which keep memory use and log records small.
const (
	MaxClasses      = 64
	MaxWorkspaces   = 2000
	MaxDrained      = 4096 // workers in Fleet.Drain
	MaxCommentBytes = 1024
	// MaxSectionBytes limits the canonical form of one section.
	MaxSectionBytes = 512 << 10
	// MaxBundleBytes limits a bundle file.
	MaxBundleBytes = 4 << 20
)

const (
	maxRank        = 1000
	maxQueueBound  = 1_000_000
	maxDeadlineMS  = 24 * 60 * 60 * 1000
	maxAttempts    = 100
	maxWeight      = 1e6
	maxIntervalMS  = 60 * 60 * 1000
	maxTaskLeaseMS = 24 * 60 * 60 * 1000
	// shareTolerance allows for rounding when decimal shares add up to 1.
	shareTolerance = 1e-9
	tokenHashBytes = 32 // SHA-256
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`)

const nameRemedy = "use 1 to 64 of a-z, 0-9, dot, underscore and dash, starting and ending with a letter or digit"

// Check returns all problems of b in one error, or nil. Each problem is a
// *fault.Error of kind Invalid with the path of the field and a remedy. The
// defaults of b.Timing must be filled in, as Parse does.
func Check(b Bundle) error { return check(b).Err() }

func check(b Bundle) strictjson.Problems {
	var p strictjson.Problems
	if b.Version == 0 {
		p.Add("version", "is missing or 0", "give the bundle a new version number above 0")
	}
	if len(b.Comment) > MaxCommentBytes {
		p.Add("comment", fmt.Sprintf("has %d bytes", len(b.Comment)), fmt.Sprintf("use at most %d bytes", MaxCommentBytes))
	}
	checkClasses(&p, b.Classes)
	checkWorkspaces(&p, b.Workspaces)
	checkFleet(&p, b.Fleet)
	checkTiming(&p, b.Timing)
	return p
}

func checkClasses(p *strictjson.Problems, classes []Class) {
	if len(classes) == 0 || len(classes) > MaxClasses {
		p.Add("classes", fmt.Sprintf("has %d entries", len(classes)), fmt.Sprintf("list 1 to %d classes", MaxClasses))
	}
	seen := map[string]bool{}
	floors := 0.0
	for i, c := range classes {
		path := "classes[" + strconv.Itoa(i) + "]"
		checkName(p, path, c.Name, seen)
		checkClass(p, path, c)
		floors += c.Floor
	}
	if floors > 1+shareTolerance {
		p.Add("classes", fmt.Sprintf("has floors that sum to %g", floors), "lower floors until they sum to at most 1")
	}
}

func checkClass(p *strictjson.Problems, path string, c Class) {
	checkInt(p, path+".rank", int64(c.Rank), 0, maxRank)
	checkShare(p, path+".floor", c.Floor)
	checkShare(p, path+".ceiling", c.Ceiling)
	if c.Ceiling == 0 {
		p.Add(path+".ceiling", "is missing or 0", "give the largest share of capacity, above 0 and at most 1")
	} else if c.Floor > c.Ceiling {
		p.Add(path+".floor", fmt.Sprintf("is %g, above the ceiling %g", c.Floor, c.Ceiling), "lower the floor or raise the ceiling")
	}
	checkInt(p, path+".queue_bound", int64(c.QueueBound), 1, maxQueueBound)
	checkInt(p, path+".deadline_ms", c.DeadlineMS, 0, maxDeadlineMS)
	checkShare(p, path+".retry_budget", c.RetryBudget)
	checkInt(p, path+".max_attempts", int64(c.MaxAttempts), 1, maxAttempts)
	checkKinds(p, path+".kinds", c.Kinds)
}

func checkKinds(p *strictjson.Problems, path string, kinds []api.Kind) {
	seen := map[api.Kind]bool{}
	for i, k := range kinds {
		at := path + "[" + strconv.Itoa(i) + "]"
		if k != api.KindRequest && !k.Logged() {
			p.Add(at, fmt.Sprintf("is %q", k), "use request, batch, gang or service")
		}
		if seen[k] {
			p.Add(at, fmt.Sprintf("repeats %q", k), "list each kind once")
		}
		seen[k] = true
	}
}

func checkWorkspaces(p *strictjson.Problems, workspaces []Workspace) {
	if len(workspaces) > MaxWorkspaces {
		p.Add("workspaces", fmt.Sprintf("has %d entries", len(workspaces)), fmt.Sprintf("list at most %d workspaces", MaxWorkspaces))
	}
	seen := map[string]bool{}
	tokens := map[string]string{}
	for i, w := range workspaces {
		path := "workspaces[" + strconv.Itoa(i) + "]"
		checkName(p, path, w.Name, seen)
		checkWorkspace(p, path, w)
		if other, used := tokens[w.TokenHash]; used && w.TokenHash != "" {
			p.Add(path+".token_hash", "is also used by workspace "+other, "give each workspace its own token")
		}
		tokens[w.TokenHash] = w.Name
	}
}

func checkWorkspace(p *strictjson.Problems, path string, w Workspace) {
	if !(w.Weight > 0 && w.Weight <= maxWeight) {
		p.Add(path+".weight", fmt.Sprintf("is %g", w.Weight), fmt.Sprintf("use a number above 0 and at most %g", float64(maxWeight)))
	}
	for d := api.CPU; d < api.NumDimensions; d++ {
		if amount := w.Quota.Get(d); amount < 0 {
			p.Add(path+".quota."+d.String(), fmt.Sprintf("is %d", amount), "use 0 for no limit or a positive amount")
		}
	}
	if w.TokenHash == "" {
		return
	}
	raw, err := hex.DecodeString(w.TokenHash)
	if err != nil || len(raw) != tokenHashBytes || strings.ToLower(w.TokenHash) != w.TokenHash {
		p.Add(path+".token_hash", "is not a SHA-256", "give the SHA-256 of the token as 64 lower-case hexadecimal digits")
	}
}

func checkFleet(p *strictjson.Problems, f Fleet) {
	checkShare(p, "fleet.packing_weight", f.PackingWeight)
	if len(f.Drain) > MaxDrained {
		p.Add("fleet.drain", fmt.Sprintf("has %d entries", len(f.Drain)), fmt.Sprintf("list at most %d workers", MaxDrained))
	}
	seen := map[string]bool{}
	for i, worker := range f.Drain {
		path := "fleet.drain[" + strconv.Itoa(i) + "]"
		if worker == "" || len(worker) > 64 {
			p.Add(path, fmt.Sprintf("has %d bytes", len(worker)), "use a worker name of 1 to 64 bytes")
		}
		if seen[worker] {
			p.Add(path, fmt.Sprintf("repeats %q", worker), "list each worker once")
		}
		seen[worker] = true
	}
}

func checkTiming(p *strictjson.Problems, t Timing) {
	before := len(*p)
	checkInt(p, "timing.worker_lease_ms", t.WorkerLeaseMS, 1, maxIntervalMS)
	checkInt(p, "timing.lease_renew_ms", t.LeaseRenewMS, 1, maxIntervalMS)
	checkInt(p, "timing.task_lease_ms", t.TaskLeaseMS, 1, maxTaskLeaseMS)
	checkInt(p, "timing.heartbeat_ms", t.HeartbeatMS, 1, maxIntervalMS)
	checkInt(p, "timing.peer_down_ms", t.PeerDownMS, 1, maxIntervalMS)
	checkInt(p, "timing.reserve_timeout_ms", t.ReserveTimeoutMS, 1, maxIntervalMS)
	checkInt(p, "timing.reservation_ttl_ms", t.ReservationTTLMS, 1, maxIntervalMS)
	checkInt(p, "timing.orphan_grace_ms", t.OrphanGraceMS, 1, maxIntervalMS)
	if len(*p) > before {
		return
	}
	// A lease survives a lost renewal only if it is longer than two renewal intervals.
	checkAbove(p, "timing.worker_lease_ms", t.WorkerLeaseMS, 2*t.LeaseRenewMS, "2 x lease_renew_ms")
	// A task must keep running while its holder's worker lease expires and another
	// process takes the worker over.
	checkAbove(p, "timing.task_lease_ms", t.TaskLeaseMS, t.WorkerLeaseMS+2*t.PeerDownMS, "worker_lease_ms + 2 x peer_down_ms")
	// A single lost heartbeat must not mark a peer as down.
	checkAbove(p, "timing.peer_down_ms", t.PeerDownMS, 2*t.HeartbeatMS, "2 x heartbeat_ms")
	// A reservation that was answered in time must still exist when the commit arrives.
	checkAbove(p, "timing.reservation_ttl_ms", t.ReservationTTLMS, t.ReserveTimeoutMS, "reserve_timeout_ms")
}

// checkAbove reports a value that is not above threshold, both in milliseconds. The
// remedy contains rule, which says how the threshold is computed.
func checkAbove(p *strictjson.Problems, path string, value, threshold int64, rule string) {
	if value <= threshold {
		p.Add(path, fmt.Sprintf("is %d ms, not above %d ms", value, threshold), "keep it above "+rule)
	}
}

func checkInt(p *strictjson.Problems, path string, value, low, high int64) {
	if value < low || value > high {
		p.Add(path, fmt.Sprintf("is %d", value), fmt.Sprintf("use %d to %d", low, high))
	}
}

func checkShare(p *strictjson.Problems, path string, value float64) {
	if !(value >= 0 && value <= 1) {
		p.Add(path, fmt.Sprintf("is %g", value), "use a share from 0 to 1")
	}
}

func checkName(p *strictjson.Problems, path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		p.Add(path+".name", fmt.Sprintf("is %q", name), nameRemedy)
	}
	if seen[name] {
		p.Add(path+".name", fmt.Sprintf("repeats %q", name), "give each entry its own name")
	}
	seen[name] = true
}

// withDefaults returns t with every 0 replaced by the default.
func (t Timing) withDefaults() Timing {
	d := DefaultTiming()
	set := func(value *int64, byDefault int64) {
		if *value == 0 {
			*value = byDefault
		}
	}
	set(&t.WorkerLeaseMS, d.WorkerLeaseMS)
	set(&t.LeaseRenewMS, d.LeaseRenewMS)
	set(&t.TaskLeaseMS, d.TaskLeaseMS)
	set(&t.HeartbeatMS, d.HeartbeatMS)
	set(&t.PeerDownMS, d.PeerDownMS)
	set(&t.ReserveTimeoutMS, d.ReserveTimeoutMS)
	set(&t.ReservationTTLMS, d.ReservationTTLMS)
	set(&t.OrphanGraceMS, d.OrphanGraceMS)
	return t
}

// normalize returns b with default timing filled in and lists in canonical order.
// It does not modify the lists of b.
func normalize(b Bundle) Bundle {
	b.Timing = b.Timing.withDefaults()
	b.Classes = slices.Clone(b.Classes)
	slices.SortStableFunc(b.Classes, func(x, y Class) int { return strings.Compare(x.Name, y.Name) })
	b.Workspaces = append([]Workspace{}, b.Workspaces...)
	slices.SortStableFunc(b.Workspaces, func(x, y Workspace) int { return strings.Compare(x.Name, y.Name) })
	b.Fleet.Drain = slices.Clone(b.Fleet.Drain)
	slices.Sort(b.Fleet.Drain)
	return b
}
