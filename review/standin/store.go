//go:build review

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times and limits of the platform's store, as in the site file and the settings.
const (
	storeAnswer     = 4 * time.Millisecond
	storeAppend     = 3 * time.Millisecond
	storePageItems  = 500
	storeRecordSize = 262144
	storeCallSize   = 2097152
	storeRepeats    = 5
	storePartitions = 16
)

// store is a stand-in for the platform's metadata store.
type store struct {
	address string
	rec     *record

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced when a record is added
	partitions map[string]*partition
	down       bool
	partsDown  map[string]bool // numbers of partitions that are down, in all topics
}

type partition struct {
	order     sync.Mutex // held during an append
	records   [][]byte
	newest    map[string]keyedRecord
	producers map[string]*producer
}

type keyedRecord struct {
	value  []byte
	offset int
}

// producer is the state of a named writer of a partition.
type producer struct {
	epoch, sequence int64
	fresh           bool             // no append of this epoch yet; the first may have any number
	answers         map[int64][]byte // of the last appends, by sequence number
}

func newStore(ip string, rec *record) (*store, error) {
	s := &store{rec: rec, changed: make(chan struct{}), partitions: map[string]*partition{}}
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

// setDown makes the store refuse every call with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

// setPartsDown makes the partitions with the given numbers refuse every call with 503, in all
// topics, and all others serve.
func (s *store) setPartsDown(parts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partsDown = map[string]bool{}
	for _, part := range parts {
		s.partsDown[part] = true
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// partition returns a partition of a topic. s.mu must be held.
func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p := s.partitions[key]
	if p == nil {
		p = &partition{newest: map[string]keyedRecord{}, producers: map[string]*producer{}}
		s.partitions[key] = p
	}
	return p
}

// put appends a record to partition 0 of a keyed topic, as the operator and the workers do.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, "0"), true, append(append([]byte{byte(len(key))}, key...), data...))
}

// add appends a record. s.mu must be held.
func (s *store) add(p *partition, keyed bool, content []byte) {
	if keyed && len(content) > 0 && len(content) >= 1+int(content[0]) {
		key, value := string(content[1:1+content[0]]), content[1+content[0]:]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = keyedRecord{value, len(p.records)}
		}
	}
	p.records = append(p.records, content)
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin waits for the answer time and reports whether the call is served.
func (s *store) begin(w http.ResponseWriter, r *http.Request) bool {
	time.Sleep(storeAnswer)
	s.mu.Lock()
	down := s.down || s.partsDown[r.URL.Query().Get("part")]
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !s.begin(w, r) {
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > min(len(rest)-4, storeRecordSize) || len(body) > storeCallSize {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		records = append(records, slices.Clone(rest[4:4+n]))
		rest = rest[4+n:]
	}
	s.mu.Lock()
	p := s.partition(topic, q.Get("part"))
	s.mu.Unlock()
	p.order.Lock()
	defer p.order.Unlock()
	time.Sleep(storeAppend)
	s.mu.Lock()
	defer s.mu.Unlock()
	status, answer := s.append(p, topic, q.Get, records)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// append carries out an append and returns its answer. s.mu must be held.
func (s *store) append(p *partition, topic string, arg func(string) string, records [][]byte) (int, []byte) {
	end := int64(len(p.records))
	if at := arg("at"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, answerJSON(map[string]any{"endOffset": end})
	}
	var from *producer
	var sequence int64
	if name := arg("producer"); name != "" {
		epoch, _ := strconv.ParseInt(arg("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(arg("sequence"), 10, 64)
		from = p.producers[name]
		if from == nil {
			from = &producer{epoch: -1}
			p.producers[name] = from
		}
		switch {
		case epoch < from.epoch:
			return http.StatusConflict, answerJSON(map[string]any{"reason": "fenced"})
		case epoch > from.epoch:
			*from = producer{epoch: epoch, fresh: true, answers: map[int64][]byte{}}
		}
		if answer := from.answers[sequence]; answer != nil && len(records) > 0 {
			return http.StatusOK, answer
		}
		if len(records) > 0 && !from.fresh && sequence != from.sequence+1 {
			return http.StatusConflict, answerJSON(map[string]any{"reason": "seq", "sequence": from.sequence + 1})
		}
	}
	for _, content := range records {
		s.add(p, strings.HasPrefix(topic, "keyed."), content)
	}
	answer := answerJSON(map[string]any{"offset": end, "endOffset": len(p.records)})
	if from != nil && len(records) > 0 {
		from.sequence, from.fresh = sequence, false
		from.answers[sequence] = answer
		delete(from.answers, sequence-storeRepeats)
	}
	return http.StatusOK, answer
}

func answerJSON(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	maxBytes := 1024 << 10
	if kb, err := strconv.Atoi(q.Get("maxKb")); err == nil {
		maxBytes = kb << 10
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(q.Get("topic"), q.Get("part")), s.changed
		records, down := p.records, s.down || s.partsDown[q.Get("part")]
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(records) <= from {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < len(records) && len(out) < maxBytes; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
			out = append(out, records[i]...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, r) {
		return
	}
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	items := make([]item, 0, len(p.newest))
	for key, k := range p.newest {
		if key > q.Get("after") {
			items = append(items, item{key, k.value, k.offset})
		}
	}
	end := len(p.records)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > storePageItems
	items = items[:min(len(items), storePageItems)]
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answerJSON(map[string]any{"items": items, "hasMore": more, "endOffset": end}))
}
