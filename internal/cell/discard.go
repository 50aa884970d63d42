package cell

// Discarded reports that the log does not accept a record, which is not stored therefore. A new
// job is withdrawn, and workers that only a discarded roster names as open get no tasks until
// a later one is stored. Other records count as stored; they are smaller than what the log
// accepts.
func (s *Scheduler) Discarded(seq uint64, key string) {
	if key == rosterKey {
		for _, w := range s.workers {
			if w.rosterSeq == seq {
				w.rosterSeq = unwritten
			}
		}
		return
	}
	if j := s.jobs[key]; j != nil && j.acceptSeq == seq {
		s.Withdraw(key)
	}
}
