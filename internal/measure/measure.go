// Package measure writes the figures of "make bench" to a table. Measurements are
// tests that run only when BENCH_TABLE names the table's file, so that
// "go test ./..." stays quick. It imports nothing internal.
package measure

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// TableVariable is the environment variable with the path of the table. Lines are
// appended.
const TableVariable = "BENCH_TABLE"

var mu sync.Mutex // guards appends to the table

// Start skips the test unless a table is wanted.
func Start(t *testing.T) {
	t.Helper()
	if os.Getenv(TableVariable) == "" {
		t.Skip("set " + TableVariable + " or run make bench")
	}
}

// Figure appends a line with the test's name, a figure, its value and its unit.
func Figure(t *testing.T, name string, value float64, unit string) {
	t.Helper()
	line := fmt.Sprintf("%-28s %-62s %14.3f %s\n", t.Name(), name, value, unit)
	t.Log(line)
	mu.Lock()
	defer mu.Unlock()
	f, err := os.OpenFile(os.Getenv(TableVariable), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString(line); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}

// Quantile returns the value below which the share q (0 to 1) of the samples
// lies, or 0 without samples. It sorts the samples.
func Quantile[T time.Duration | float64](samples []T, q float64) T {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(int(q*float64(len(samples))), len(samples)-1)]
}

// HeapBytes returns the live heap after a collection, in bytes.
func HeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Slope returns the least-squares slope of y over x.
func Slope(x, y []float64) float64 {
	var sumX, sumY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
	}
	meanX, meanY := sumX/float64(len(x)), sumY/float64(len(y))
	var above, below float64
	for i := range x {
		above += (x[i] - meanX) * (y[i] - meanY)
		below += (x[i] - meanX) * (x[i] - meanX)
	}
	return above / below
}

// clockTicks is the number of ticks a second in /proc/PID/stat on Linux.
const clockTicks = 100

// CPUTime returns the processor time that a process has used.
func CPUTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	stat := ProcFields(t, pid, "stat")
	return time.Duration(atoi(t, stat[13])+atoi(t, stat[14])) * time.Second / clockTicks
}

// ProcValue returns the number after a name in a file of /proc/PID, such as VmRSS: in
// status, in the unit of that file.
func ProcValue(t *testing.T, pid int, file, name string) float64 {
	t.Helper()
	fields := ProcFields(t, pid, file)
	for i, f := range fields {
		if f == name && i+1 < len(fields) {
			return float64(atoi(t, fields[i+1]))
		}
	}
	t.Fatalf("/proc/%d/%s has no %s", pid, file, name)
	return 0
}

// ProcFields returns the fields of a file of /proc/PID.
func ProcFields(t *testing.T, pid int, file string) []string {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(data))
}

func atoi(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
