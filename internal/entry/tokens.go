package entry

import "sync"

// orderTokens are the fencing tokens of a term. The record of each renewal of the claim has an offset
// of its own, which is below those of all later claims, so a holder may use each of them as a token. A
// session takes a higher one when its worker has restarted under its ID: the header that names the
// expected worker is the same for all incarnations, and an order that was not answered may be carried
// out by the next one.
type orderTokens struct {
	mu     sync.Mutex
	claim  int64 // token of the claim, the lowest one
	newest int64 // the highest one so far
	used   int64 // highest token of an order that may change an incarnation which it is not meant for
	taken  int64 // highest token of a session, which its worker may have seen
}

func newOrderTokens(claim int64) *orderTokens { return &orderTokens{claim: claim, newest: claim} }

// extend records that the claims partition ends at the given offset, after a renewal of the claim.
func (t *orderTokens) extend(end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = max(t.newest, end)
}

// first returns the token of a new session, which is not below that of an earlier session, and whether
// orders of an earlier session with it may be under way to a former incarnation of its worker.
func (t *orderTokens) first() (token int64, used bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	token = min(max(t.claim, t.used+1, t.taken), t.newest)
	return token, token <= t.used
}

// after returns the token after the given one, if there is one yet.
func (t *orderTokens) after(token int64) (next int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token >= t.newest {
		return 0, false
	}
	t.taken = max(t.taken, token+1)
	return token + 1, true
}

// markUsed records an order that may change an incarnation which it is not meant for.
func (t *orderTokens) markUsed(token int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.used = max(t.used, token)
}
