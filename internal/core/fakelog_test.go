package core

import "time"

// refreshInterval returns the refresh interval that LogRetention would set.
func (cluster *fakeCluster) refreshInterval() time.Duration {
	return time.Duration(cluster.retentionSteps/4) * TickInterval
}

// readLog passes the unread records to the process, and reports a gap if the log has
// dropped some of them.
func (cluster *fakeCluster) readLog(p *fakeProcess) {
	if p.read < cluster.oldest {
		if p.hasRead {
			p.inbox = append(p.inbox, LogGap{})
		}
		p.read = cluster.oldest
	}
	p.hasRead = true
	for ; p.read < len(cluster.log); p.read++ {
		p.inbox = append(p.inbox, RecordRead{Offset: uint64(p.read), Record: cluster.log[p.read]})
	}
	p.inbox = append(p.inbox, LogCaughtUp{})
}

// expireLog drops records that are past the retention. Only time in which the log is
// up counts.
func (cluster *fakeCluster) expireLog() {
	if cluster.logUp {
		cluster.logUptime++
	}
	for len(cluster.appendedAt) < len(cluster.log) {
		cluster.appendedAt = append(cluster.appendedAt, cluster.logUptime)
	}
	for cluster.retentionSteps > 0 && cluster.oldest < len(cluster.log) && cluster.logUptime-cluster.appendedAt[cluster.oldest] > cluster.retentionSteps {
		cluster.oldest++
	}
}

// flush appends the pending records of a process. With loseAcks the append is repeated
// although it took effect, as after a lost response.
func (cluster *fakeCluster) flush(p *fakeProcess) {
	cluster.log = append(cluster.log, p.pending...)
	if cluster.loseAcks {
		cluster.log = append(cluster.log, p.pending...)
	}
	p.pending = nil
}
