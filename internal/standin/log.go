package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"golang.org/x/time/rate"

	"github.com/fulmarlatch/fulmarlatch/internal/clock"
	"github.com/fulmarlatch/fulmarlatch/internal/fault"
	"github.com/fulmarlatch/fulmarlatch/internal/platformlog"
)

// Limits of the log service.
const (
	maxReadRecords   = 1000    // per read
	maxReadBytes     = 1 << 20 // per read; a longer record is returned alone
	maxAppendRecords = 500     // per append
	maxRecordBytes   = 1 << 20
)

// LogFaults are the injected faults of the log service.
type LogFaults struct {
	Down    bool  `json:"down"`     // every request fails with status 503
	DelayMS int64 `json:"delay_ms"` // delay before each request takes effect
	// LoseAppends is the number of following appends that take effect but get no
	// response; -1 means all.
	LoseAppends int `json:"lose_appends"`
	// LoseBy504 responds to a lost append with status 504 instead of closing the
	// connection.
	LoseBy504 bool `json:"lose_by_504"`
	// AppendsPerSecond changes the rate limit if it is not 0.
	AppendsPerSecond int `json:"appends_per_second"`
}

// logService is the stand-in for the log service.
type logService struct {
	ctx       context.Context
	retention time.Duration
	limiter   *rate.Limiter

	mu      sync.Mutex // guards the fields below
	faults  LogFaults
	streams map[string]*stream
}

// stream is one stream of records. logService.mu guards it.
type stream struct {
	first    uint64 // offset of records[0]
	records  []platformlog.Record
	appended broadcast // wakes readers after an append
}

func newLog(ctx context.Context, config LogConfig) *logService {
	limit := config.AppendsPerSecond
	return &logService{ctx: ctx, retention: milliseconds(config.RetentionMS),
		limiter: rate.NewLimiter(rate.Limit(limit), max(1, limit/10)), streams: map[string]*stream{}}
}

// routes adds the routes of the log service.
func (l *logService) routes(app *fiber.App) {
	app.Use(l.injectFaults)
	app.Post("/v1/streams/:stream/records", l.handleAppend)
	app.Get("/v1/streams/:stream/records", l.handleRead)
}

// setFaults replaces the injected faults.
func (l *logService) setFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	if n := faults.AppendsPerSecond; n > 0 {
		l.limiter.SetLimit(rate.Limit(n))
		l.limiter.SetBurst(max(1, n/10))
	}
}

// injectFaults is middleware that delays or fails a request.
func (l *logService) injectFaults(c fiber.Ctx) error {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if faults.DelayMS > 0 && !clock.Sleep(l.ctx, milliseconds(faults.DelayMS)) {
		return fault.New(fault.LogDown, "the log service stops", "start it again")
	}
	if faults.Down {
		return fault.New(fault.LogDown, "the log service is down", "wait until it is up")
	}
	return c.Next()
}

// handleAppend handles an append.
func (l *logService) handleAppend(c fiber.Ctx) error {
	request, err := body[platformlog.AppendRequest](c)
	if err != nil {
		return err
	}
	if err := checkAppend(request.Records); err != nil {
		return err
	}
	if !l.limiter.Allow() {
		e := fault.New(fault.QueueFull, "too many appends per second", "put more records into one append")
		e.RetryAfterMS = 50
		return e
	}
	response, lost := l.append(strings.Clone(c.Params("stream")), request.Records)
	switch {
	case lost && l.loseBy504():
		return c.SendStatus(fiber.StatusGatewayTimeout)
	case lost:
		return dropConnection(c)
	}
	return c.JSON(response)
}

// checkAppend returns an Invalid fault if records exceed the limits.
func checkAppend(records [][]byte) error {
	if len(records) == 0 || len(records) > maxAppendRecords {
		return fault.New(fault.Invalid, "an append has 1 to 500 records", "split the append")
	}
	for _, r := range records {
		if len(r) > maxRecordBytes {
			return fault.New(fault.Invalid, "a record is longer than 1 MiB", "shorten the record")
		}
	}
	return nil
}

func (l *logService) loseBy504() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.LoseBy504
}

// append appends records to a stream. lost reports that the response must not be
// sent.
func (l *logService) append(name string, records [][]byte) (response platformlog.AppendResponse, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	now := time.Now().UnixMilli()
	response.First = s.next()
	for _, data := range records {
		s.records = append(s.records, platformlog.Record{Offset: s.next(), TimeMS: now, Data: data})
	}
	response.Next = s.next()
	s.appended.wake()
	lost = l.faults.LoseAppends != 0
	if l.faults.LoseAppends > 0 {
		l.faults.LoseAppends--
	}
	return response, lost
}

// stream returns a stream, and creates it if needed, after dropping the records past
// their retention. l.mu must be held.
func (l *logService) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{appended: make(broadcast)}
		l.streams[name] = s
	}
	oldest := time.Now().Add(-l.retention).UnixMilli()
	expired := sort.Search(len(s.records), func(i int) bool { return s.records[i].TimeMS >= oldest })
	if expired > 0 {
		s.first += uint64(expired)
		s.records = append([]platformlog.Record(nil), s.records[expired:]...)
	}
	return s
}

// next returns the offset of the next record.
func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// handleRead handles a read. It waits for records up to wait_ms if there are none.
func (l *logService) handleRead(c fiber.Ctx) error {
	name := strings.Clone(c.Params("stream"))
	from := fiber.Query[uint64](c, "from")
	limit := fiber.Query(c, "max", maxReadRecords)
	wait := milliseconds(fiber.Query[int64](c, "wait_ms"))
	response, appended := l.read(name, from, limit)
	if len(response.Records) == 0 && wait > 0 {
		waitFor(l.ctx, appended, wait)
		response, _ = l.read(name, from, limit)
	}
	return c.JSON(response)
}

// read returns at most limit records starting at offset from, and the broadcast of the
// next append.
func (l *logService) read(name string, from uint64, limit int) (platformlog.ReadResponse, broadcast) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	response := platformlog.ReadResponse{Next: s.next(), Oldest: s.first,
		RetentionMS: l.retention.Milliseconds(), Records: []platformlog.Record{}}
	size := 0
	for at := max(from, s.first); at < s.next() && len(response.Records) < min(limit, maxReadRecords); at++ {
		r := s.records[at-s.first]
		size += len(r.Data)
		if len(response.Records) > 0 && size > maxReadBytes {
			break
		}
		response.Records = append(response.Records, r)
	}
	return response, s.appended
}
