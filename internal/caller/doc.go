// Package caller is the HTTP API for submitting and following jobs, and its client.
// Package node runs a Server; commands and load tests use a Client. Both are safe
// for concurrent use. The Server keeps no state about jobs: it passes every
// operation to a JobService.
//
//	POST   /v1/ids?workspace=W                  creates a job ID
//	POST   /v1/jobs                             submits a job (JSON of api.Job)
//	GET    /v1/jobs/{id}?workspace=W&wait_ms=N  returns the status, or waits for the end
//	DELETE /v1/jobs/{id}?workspace=W            cancels the job
//
// Every request contains the token of the workspace in the header
// "Authorization: Bearer TOKEN". The header Idempotency-Key sets the field key of
// the job. Every response is a JSON object with job_id, outcome, error, answer
// (the JSON answer of the upstream, unchanged) or answer_base64 (an answer that is
// not JSON), wait_ms and tasks.
//
// The HTTP status depends on the outcome and the kind of the error:
//
//	completed                                  200
//	accepted                                   202
//	failed                                     502
//	not_run, unknown with kind invalid         400
//	not_run, unknown with kind unauthorized    401
//	not_run, unknown with kind not_found       404
//	not_run, unknown with kind conflict        409
//	not_run with kind never_fits               422
//	not_run, unknown with kind queue_full      429
//	not_run with kind quota_exceeded           429
//	not_run with any other kind                503
//	unknown with any other kind                504
//
// A status or cancel request that is refused (wrong token, unknown ID) has outcome
// unknown, because the refusal says nothing about the job. A request over the size
// limits of the server has status 413 (body) or 431 (headers) and kind invalid;
// the server does not read such a request to its end, so a client that continues
// to send may get a connection reset instead. Retry-After is in whole seconds,
// rounded up; error.retry_after_ms is the exact delay in milliseconds.
package caller
