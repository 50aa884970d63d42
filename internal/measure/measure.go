// Package measure writes the results of "make bench" to a text file, the table. The
// measurements are tests named TestMeasure... that run only if BENCH_TABLE names that
// file, so that "go test ./..." stays fast. They may append to the table concurrently.
// The package imports nothing internal.
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

// TableVariable is the environment variable that holds the path of the table, to which
// lines are appended.
const TableVariable = "BENCH_TABLE"

var mu sync.Mutex // guards appends to the table

// Start skips the test unless TableVariable is set.
func Start(t *testing.T) {
	t.Helper()
	if os.Getenv(TableVariable) == "" {
		t.Skip("set " + TableVariable + " or run make bench")
	}
}

// Figure appends a line with the name of the test and the name, value and unit of a
// result to the table.
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

// Quantile returns the q-quantile of the samples for q from 0 to 1, or 0 if there are
// no samples. It sorts the samples in place.
func Quantile[T time.Duration | float64](samples []T, q float64) T {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(int(q*float64(len(samples))), len(samples)-1)]
}

// HeapBytes returns the size of the live heap in bytes, after a garbage collection.
func HeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Slope returns the slope of the least-squares line through the points (x, y).
func Slope(x, y []float64) float64 {
	var sumX, sumY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
	}
	meanX, meanY := sumX/float64(len(x)), sumY/float64(len(y))
	var numerator, denominator float64
	for i := range x {
		numerator += (x[i] - meanX) * (y[i] - meanY)
		denominator += (x[i] - meanX) * (x[i] - meanX)
	}
	return numerator / denominator
}

// clockTicks is the number of ticks per second in /proc/PID/stat on Linux.
const clockTicks = 100

// CPUTime returns the user and system CPU time of the process pid.
func CPUTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	stat := ProcFields(t, pid, "stat")
	return time.Duration(parseInt(t, stat[13])+parseInt(t, stat[14])) * time.Second / clockTicks
}

// ProcValue returns the number that follows name in a file of /proc/PID, in the unit of
// that file. An example is the name "VmRSS:" in the file "status".
func ProcValue(t *testing.T, pid int, file, name string) float64 {
	t.Helper()
	fields := ProcFields(t, pid, file)
	for i, f := range fields {
		if f == name && i+1 < len(fields) {
			return float64(parseInt(t, fields[i+1]))
		}
	}
	t.Fatalf("/proc/%d/%s has no %s", pid, file, name)
	return 0
}

// ProcFields returns the fields of a file of /proc/PID, separated by white space.
func ProcFields(t *testing.T, pid int, file string) []string {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(string(data))
}

func parseInt(t *testing.T, s string) int64 {
	t.Helper()
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}
