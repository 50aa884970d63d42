package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log. It serves the calls that the entry processes
// make: /log-append, /log-read and /log-newest.
type store struct {
	mu      sync.Mutex
	changed *sync.Cond
	parts   map[string]*part
	outage  string // busy: every call gets 503; empty: the store is up
	beats   map[string]*beat
	rejects int // appends that were rejected because a record was too large
}

// beat is the newest heartbeat of a worker.
type beat struct {
	at    time.Time
	entry string
}

// part is a partition of a keyed topic.
type part struct {
	serial  sync.Mutex // appends are processed one at a time
	records [][]byte
	newest  map[string]newest
	writers map[string]*producer
}

type newest struct {
	value  []byte
	offset int64
}

// producer is what the partition knows of a writer: its epoch and its last five appends.
type producer struct {
	epoch, sequence int64
	last            map[int64]int64 // end offset by sequence number
}

const (
	recordBytes  = 262144
	requestBytes = 2097152
	appendTime   = 3 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1 << 20
	maxReadBytes = 1 << 20
)

func newStore() *store {
	s := &store{parts: map[string]*part{}, beats: map[string]*beat{}}
	s.changed = sync.NewCond(&s.mu)
	go s.removeSilent()
	return s
}

// part returns a partition. s.mu must be held.
func (s *store) part(topic, number string) *part {
	p := s.parts[topic+"/"+number]
	if p == nil {
		p = &part{newest: map[string]newest{}, writers: map[string]*producer{}}
		s.parts[topic+"/"+number] = p
	}
	return p
}

// add appends a record: the length of the key, the key, the value.
func (p *part) add(content []byte) {
	key := string(content[1 : 1+int(content[0])])
	value := content[1+int(content[0]):]
	if len(value) == 0 {
		delete(p.newest, key)
	} else {
		p.newest[key] = newest{value, int64(len(p.records))}
	}
	p.records = append(p.records, content)
}

// put writes a record of the operator or of a worker.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(append(append([]byte{byte(len(key))}, key...), value...))
	s.changed.Broadcast()
}

// setOutage begins or ends an outage.
func (s *store) setOutage(how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = how
	s.changed.Broadcast()
}

// beat takes a heartbeat, unless the store is down. A record is written if the entry has changed.
func (s *store) beat(id, entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage != "" {
		return
	}
	b := s.beats[id]
	if b == nil || b.entry != entry {
		s.part("keyed.servers", "0").add(append(append([]byte{byte(len(id))}, id...), entry...))
		s.changed.Broadcast()
	}
	s.beats[id] = &beat{time.Now(), entry}
}

// removeSilent removes entries after three heartbeats of silence, also while the store is down.
func (s *store) removeSilent() {
	for ; ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		for id, b := range s.beats {
			if time.Since(b.at) > 3*heartbeat {
				delete(s.beats, id)
				s.part("keyed.servers", "0").add(append([]byte{byte(len(id))}, id...))
				rec.add("store removes the entry of %s after three heartbeats of silence", id)
				s.changed.Broadcast()
			}
		}
		s.mu.Unlock()
	}
}

// registered returns the number of workers with an entry.
func (s *store) registered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.beats)
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage != ""
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, p, body)
	case "/log-read":
		s.read(w, r, p)
	case "/log-newest":
		s.newest(w, r, p)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func intOf(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64) // 0 if there is none
	return n
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client has gone if this fails
}

// append appends all records of a call or none.
func (s *store) append(w http.ResponseWriter, r *http.Request, p *part, body []byte) {
	p.serial.Lock()
	defer p.serial.Unlock()
	time.Sleep(appendTime)
	var contents [][]byte
	total := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			answer(w, http.StatusBadRequest, map[string]string{"reason": "malformed"})
			return
		}
		size := int(binary.BigEndian.Uint32(rest))
		if total += size; size > recordBytes || total > requestBytes {
			s.mu.Lock()
			if s.rejects++; s.rejects <= 20 || s.rejects%100 == 0 {
				rec.add("store rejects an append (400): a record has %d bytes, the limit is %d; such rejections: %d", size, recordBytes, s.rejects)
			}
			s.mu.Unlock()
			answer(w, http.StatusBadRequest, map[string]string{"reason": "too large"})
			return
		}
		contents = append(contents, rest[4:4+size])
		rest = rest[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q, end := r.URL.Query(), int64(len(p.records))
	if q.Has("at") && intOf(q.Get("at")) != end {
		answer(w, http.StatusPreconditionFailed, map[string]int64{"endOffset": end})
		return
	}
	if name := q.Get("producer"); name != "" {
		epoch, sequence := intOf(q.Get("epoch")), intOf(q.Get("sequence"))
		known := p.writers[name]
		switch {
		case known != nil && epoch < known.epoch:
			answer(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		case known == nil || epoch > known.epoch:
			known = &producer{epoch: epoch, sequence: sequence - 1, last: map[int64]int64{}}
			if len(contents) == 0 {
				known.sequence = 0
			}
			p.writers[name] = known
		}
		if len(contents) > 0 {
			if at, repeated := known.last[sequence]; repeated {
				answer(w, http.StatusOK, map[string]int64{"offset": at, "endOffset": at})
				return
			}
			if known.sequence != 0 && sequence != known.sequence+1 {
				answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": known.sequence + 1})
				return
			}
			known.sequence = sequence
			known.last[sequence] = end + int64(len(contents))
			delete(known.last, sequence-5)
		}
	}
	for _, c := range contents {
		p.add(append([]byte(nil), c...))
	}
	s.changed.Broadcast()
	answer(w, http.StatusOK, map[string]int64{"offset": end, "endOffset": int64(len(p.records))})
}

// read serves the records from an offset on, and waits for one if there is none.
func (s *store) read(w http.ResponseWriter, r *http.Request, p *part) {
	q := r.URL.Query()
	from, deadline := intOf(q.Get("from")), time.Now().Add(time.Duration(intOf(q.Get("waitMs")))*time.Millisecond)
	wake := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer wake.Stop()
	s.mu.Lock()
	for int64(len(p.records)) <= from && time.Now().Before(deadline) && s.outage == "" {
		s.changed.Wait()
	}
	if s.outage != "" {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < int64(len(p.records)) && len(out) < maxReadBytes; i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
		out = append(out, p.records[i]...)
	}
	s.mu.Unlock()
	_, _ = w.Write(out) // the client has gone if this fails
}

// newest serves a page of the newest record of each key, in the order of the keys.
func (s *store) newest(w http.ResponseWriter, r *http.Request, p *part) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		n := p.newest[key]
		if len(items) == pageItems || size > 0 && size+len(n.value) > pageBytes {
			more = true
			break
		}
		size += len(n.value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": len(p.records)})
}
