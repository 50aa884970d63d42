// Package caller is the HTTP API for callers and its client.
//
//	POST   /v1/ids?workspace=T              mints a job id
//	POST   /v1/jobs                    submits a job (JSON of api.Job)
//	GET    /v1/jobs/{id}?workspace=T&wait_ms=N  asks for the state, or waits for the end
//	DELETE /v1/jobs/{id}?workspace=T        cancels
//
// Every request carries the workspace's token as "Authorization: Bearer TOKEN". The
// header Idempotency-Key stands for the job's field key. Every response is a
// JSON object with job_id, outcome, error, answer (the upstream's JSON answer,
// unchanged) or answer_base64 (an answer that is not JSON), wait_ms and tasks.
//
// The HTTP status follows from the outcome and the error's kind:
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
// A status or cancel request that is itself refused (bad token, unknown id) has
// outcome unknown, because it proves nothing about the job. A request beyond
// the limits of the server has status 413 (body) or 431 (headers) and kind
// invalid; the server does not read such a request to its end, so a caller that
// goes on sending may see a reset instead. Retry-After is in whole seconds, rounded up; error.retry_after_ms
// has the exact pause.
//
// The package imports api, fault and message.
package caller
