package cell

// This file estimates how long tasks run.

// runTime returns the estimated run time of a task of the step on the worker, in ms.
func (s *Scheduler) runTime(st *step, w *worker) int64 {
	if st.isRemote(w) {
		return int64(float64(st.def.EstimateMS) * s.cfg.RemoteDataFactor)
	}
	return st.def.EstimateMS
}

// isRemote reports whether the worker is on another rack than the step's data.
func (s *step) isRemote(w *worker) bool {
	return s.def.DataRack != "" && w.Rack != s.def.DataRack
}
