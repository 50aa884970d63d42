package core

import "time"

// refreshInterval fits the retention of the log, as LogRetention does.
func (cell *fakeCell) refreshInterval() time.Duration {
	return time.Duration(cell.keepFor/4) * TickInterval
}

// readLog passes on the records that the log still has.
func (cell *fakeCell) readLog(p *fakeProcess) {
	if p.read < cell.oldest {
		if p.opened {
			p.inbox = append(p.inbox, LogGap{})
		}
		p.read = cell.oldest
	}
	p.opened = true
	for ; p.read < len(cell.log); p.read++ {
		p.inbox = append(p.inbox, RecordRead{Offset: uint64(p.read), Record: cell.log[p.read]})
	}
	p.inbox = append(p.inbox, LogCaughtUp{})
}

// expireLog drops records that were kept for long enough. Time in which the log is
// down does not count.
func (cell *fakeCell) expireLog() {
	if cell.logUp {
		cell.uptime++
	}
	for len(cell.logged) < len(cell.log) {
		cell.logged = append(cell.logged, cell.uptime)
	}
	for cell.keepFor > 0 && cell.oldest < len(cell.log) && cell.uptime-cell.logged[cell.oldest] > cell.keepFor {
		cell.oldest++
	}
}

// flush appends what a process wants in the log. With loseAcks the append takes
// effect and is repeated, as after a lost response.
func (cell *fakeCell) flush(p *fakeProcess) {
	cell.log = append(cell.log, p.pending...)
	if cell.loseAcks {
		cell.log = append(cell.log, p.pending...)
	}
	p.pending = nil
}
