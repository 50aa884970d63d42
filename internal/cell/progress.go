package cell

// progress is how far a run is, as its worker lists it.
type progress struct {
	percent int
	at      Instant // when percent last rose; 0 before the first listing
	// firstPercent and firstAt are from the first listing: a run that resumes from
	// a checkpoint does not begin at 0.
	firstPercent int
	firstAt      Instant
}

// take notes a listed percentage.
func (p *progress) take(now Instant, percent int) {
	switch {
	case p.at == 0:
		*p = progress{percent: percent, at: now, firstPercent: percent, firstAt: now}
	case percent > p.percent:
		p.percent, p.at = percent, now
	}
}

// minProjectedPercent is the least advance between two listings from which the end
// of a run is projected. Percentages are whole numbers.
const minProjectedPercent = 5

// projectedEnd returns when the run ends at the speed that it has shown, and whether
// that is known.
func (p *progress) projectedEnd() (end Instant, known bool) {
	advance := p.percent - p.firstPercent
	if advance < minProjectedPercent {
		return 0, false
	}
	left := Instant(100-p.percent) * (p.at - p.firstAt) / Instant(advance)
	return p.at + left, true
}

// takeProgress notes how far a run is, and corrects the estimate of its end.
func (a *attempt) takeProgress(now Instant, r *RunningTask) {
	a.load = r.Load
	a.progress.take(now, r.Percent)
	if end, known := a.progress.projectedEnd(); known {
		a.ends = end
	}
}
