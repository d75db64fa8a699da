package fleet

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"fescuelatch"
	"fescuelatch/internal/process"
)

// This file defines the resource usage of daemons: processor time and memory
// from the kernel, and the daemon's own metrics.

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are the indexes of the processor
	// times in /proc/PID/stat, counted after the program name.
	userTimeField   = 11
	systemTimeField = 12
	kilobyte        = 1024
)

// Usage is the resource usage of a process.
type Usage struct {
	Processor time.Duration
	// Resident is the resident memory in bytes.
	Resident int64
}

// Process returns the process of the daemon of m.
func (f *Fleet) Process(m fescuelatch.VMID) (*process.Process, error) {
	return f.process(daemonName(m))
}

// Usage reads the resource usage of the daemon of m.
func (f *Fleet) Usage(m fescuelatch.VMID) (Usage, error) {
	p, err := f.process(daemonName(m))
	if err != nil {
		return Usage{}, err
	}
	u, err := usageOf(p.PID())
	if err != nil {
		return Usage{}, &Error{"read usage of " + string(m), KindProcess, err}
	}
	return u, nil
}

func usageOf(pid int) (Usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat")) //nolint:gosec // The path is made from a number.
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	status, err := os.ReadFile(filepath.Join(dir, "status")) //nolint:gosec // The path is made from a number.
	if err != nil {
		return Usage{}, errors.WithStack(err)
	}
	ticks, err := parseTicks(stat)
	if err != nil {
		return Usage{}, err
	}
	resident, err := parseResident(status)
	return Usage{Processor: time.Duration(ticks) * clockTick, Resident: resident}, err
}

// parseTicks returns the processor time in /proc/PID/stat, in clock ticks.
func parseTicks(stat []byte) (int64, error) {
	// The program name, in parentheses, may contain spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemTimeField {
		return 0, errors.New("stat has too few fields")
	}
	user, err := strconv.ParseInt(string(fields[userTimeField]), 10, 64)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	system, err := strconv.ParseInt(string(fields[systemTimeField]), 10, 64)
	return user + system, errors.WithStack(err)
}

// parseResident returns the resident memory in /proc/PID/status, in bytes.
func parseResident(status []byte) (int64, error) {
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return n * kilobyte, errors.WithStack(err)
		}
	}
	return 0, errors.New("status has no VmRSS")
}

// Metrics reads the metrics of the daemon of m. Keys are metric names with
// their labels.
func (f *Fleet) Metrics(ctx context.Context, m fescuelatch.VMID) (map[string]float64, error) {
	v, err := f.vm(m)
	if err != nil {
		return nil, err
	}
	op := "read metrics of " + string(m)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Operator.String()+"/metrics", nil)
	if err != nil {
		return nil, &Error{op, KindRefused, errors.WithStack(err)}
	}
	r.Header.Set("Authorization", "Bearer "+f.OperatorKey)
	resp, err := f.client.Do(r)
	if err != nil {
		return nil, &Error{op, KindTimeout, errors.WithStack(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{op, KindRefused, errors.New(resp.Status)}
	}
	values, err := parseMetrics(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, &Error{op, KindRefused, err}
	}
	return values, nil
}

// parseMetrics parses the Prometheus text format.
func parseMetrics(r io.Reader) (map[string]float64, error) {
	values := make(map[string]float64)
	s := bufio.NewScanner(r)
	for s.Scan() {
		line := s.Text()
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		v, err := strconv.ParseFloat(line[i+1:], 64)
		if err != nil {
			return nil, errors.Wrap(err, line)
		}
		values[line[:i]] = v
	}
	return values, errors.WithStack(s.Err())
}
