package logging

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/fulmarlatch/fulmarlatch/internal/fault"
)

// Levels returns the names of the log levels, from the most verbose one.
func Levels() []string { return []string{"debug", "info", "warn", "error"} }

// New returns a logger that writes events of at least the named level to w. Each
// line starts with ts (UTC), level and event, followed by fields. It returns an
// Invalid error if the level is unknown.
func New(w io.Writer, level string, fields ...zap.Field) (*zap.Logger, error) {
	minLevel, encoder, err := levelAndEncoder(level)
	if err != nil {
		return nil, err
	}
	out := zapcore.Lock(zapcore.AddSync(w))
	return zap.New(zapcore.NewCore(encoder, out, minLevel)).With(fields...), nil
}

// levelAndEncoder returns the level with the given name and an encoder of lines.
func levelAndEncoder(level string) (zapcore.Level, zapcore.Encoder, error) {
	if !slices.Contains(Levels(), level) {
		return 0, nil, fault.New(fault.Invalid, fmt.Sprintf("log level %q is unknown", level), "use "+strings.Join(Levels(), ", "))
	}
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return 0, nil, fault.Wrap(fault.Invalid, err, "log level cannot be read", "use "+strings.Join(Levels(), ", "))
	}
	config := zapcore.EncoderConfig{
		TimeKey:        "ts",
		LevelKey:       "level",
		MessageKey:     "event",
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
		LineEnding:     zapcore.DefaultLineEnding,
	}
	return minLevel, zaplogfmt.NewEncoder(config), nil
}

func encodeTime(t time.Time, enc zapcore.PrimitiveArrayEncoder) {
	enc.AppendString(timestamp(t))
}

// timestamp formats a time in UTC with milliseconds.
func timestamp(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }

// Fault returns log fields for err: kind, error, and cause and remedy if it has them.
func Fault(err error) []zap.Field {
	e := fault.As(err)
	fields := []zap.Field{zap.String("kind", string(e.Kind)), zap.String("error", e.Message)}
	if e.Err != nil {
		fields = append(fields, zap.String("cause", e.Err.Error()))
	}
	if e.Remedy != "" {
		fields = append(fields, zap.String("remedy", e.Remedy))
	}
	return fields
}
