package bundle

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// world is a log with two operators, a reader of all records and readers that
// start at any time from the oldest record that the log then holds.
type world struct {
	t         *rapid.T
	log       stream
	operators map[string]*Chain
	full      *Chain
	readers   []*Chain
	highest   map[*Chain]uint64
	version   uint64
	refreshed int // offset of the latest checkpoint's first section
}

func (w *world) pick(label string, n int) int { return rapid.IntRange(0, n-1).Draw(w.t, label) }

func (w *world) roll() {
	name := []string{"isla", "ruaridh"}[w.pick("operator", 2)]
	c := w.operators[name]
	w.version++
	if w.pick("rollback", 4) == 0 {
		w.version = max(1, w.version/2)
	}
	signed, err := c.Sign(version(w.version), name, private[name], signedAt)
	assert.NilError(w.t, err)
	w.log.append(signed.Records...)
}

func (w *world) operatorReads() {
	w.partly(w.operators[[]string{"isla", "ruaridh"}[w.pick("operator", 2)]])
}

// partly lets c read up to a random offset.
func (w *world) partly(c *Chain) {
	_, _ = w.log.read(c, rapid.IntRange(0, len(w.log.records)).Draw(w.t, "end"))
}

func (w *world) copyOld() {
	if len(w.log.records) > 0 {
		w.log.append(w.log.records[w.pick("copied", len(w.log.records))])
	}
}

func (w *world) forge() {
	signed, err := w.full.Sign(version(900+w.version), "isla", private["isla"], signedAt)
	assert.NilError(w.t, err)
	for _, data := range signed.Records {
		rec, err := DecodeRecord(data)
		assert.NilError(w.t, err)
		if rec.Roll != nil {
			rec.Roll.Signature[w.pick("byte", len(rec.Roll.Signature))] ^= 1
		}
		w.log.append(EncodeRecord(rec))
	}
	w.log.append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(w.t, "junk"))
}

func (w *world) refresh() {
	w.partly(w.full)
	if records := w.full.Refresh(); records != nil {
		w.refreshed = len(w.log.records)
		w.log.append(records...)
	}
}

// truncate drops records up to the latest checkpoint's sections at most.
func (w *world) truncate() {
	w.log.oldest = rapid.IntRange(w.log.oldest, max(w.log.oldest, w.refreshed)).Draw(w.t, "oldest")
}

func (w *world) startReader() { w.readers = append(w.readers, NewChain(public)) }

// loadPeer passes the roll in force from one reader to another.
func (w *world) loadPeer() {
	from, to := w.readers[w.pick("from", len(w.readers))], w.readers[w.pick("to", len(w.readers))]
	if records := from.Records(); records != nil {
		_, _ = to.LoadPeer(records)
	}
}

// check fails if a reader's number became lower.
func (w *world) check() {
	for _, c := range append(w.readers, w.full) {
		number := inForce(c)[0]
		assert.Assert(w.t, number >= w.highest[c], "reverted from roll %d to %d", w.highest[c], number)
		w.highest[c] = number
	}
}

// expected decides the chain anew from all records: the first roll by offset
// that a known key signed and that replaces the last winner.
func (w *world) expected() (last Hash) {
	for _, data := range w.log.records {
		rec, err := DecodeRecord(data)
		if err != nil || rec.Roll == nil || rec.Roll.Verify(public) != nil {
			continue
		}
		if rec.Roll.Replaces == last {
			last = rec.Roll.ID()
		}
	}
	return last
}

// TestChainProperties guards against a chain that goes to a lower number, that
// differs between readers of one log, or that an invalid record changes, under
// races, lagging operators, copies, refreshes, forgeries and dropped records.
func TestChainProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, operators: map[string]*Chain{"isla": NewChain(public), "ruaridh": NewChain(public)},
			full: NewChain(public), highest: map[*Chain]uint64{}}
		w.startReader()
		actions := []func(){w.roll, w.roll, w.operatorReads, w.operatorReads, w.copyOld, w.forge, w.refresh,
			w.truncate, w.startReader, w.loadPeer, func() { w.partly(w.readers[w.pick("reader", len(w.readers))]) }}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			actions[w.pick("action", len(actions))]()
			w.keepUp()
			w.check()
		}
		w.finish()
	})
}

// keepUp lets the reader of all records read what truncation would drop, and
// operators too, since the tool refuses to sign on an incomplete log.
func (w *world) keepUp() {
	for _, c := range []*Chain{w.full, w.operators["isla"], w.operators["ruaridh"]} {
		if int(c.Next()) < w.refreshed {
			oldest := w.log.oldest
			w.log.oldest = 0
			_, _ = w.log.read(c, w.refreshed)
			w.log.oldest = oldest
		}
	}
}

// finish refreshes the log once more and compares all readers with the rule.
func (w *world) finish() {
	_, _ = w.log.all(w.full)
	w.log.append(w.full.Refresh()...)
	w.startReader()
	want := w.expected()
	for _, c := range append(w.readers, w.full) {
		_, _ = w.log.all(c)
		info, _, found := c.InForce()
		assert.Equal(w.t, info.ID, want)
		assert.Assert(w.t, !found || c.Settled())
	}
	w.check()
}
