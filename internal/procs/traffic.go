package procs

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/ragwortquay/ragwortquay/internal/fault"
)

// IOBytes returns the bytes that the process has read and written so far with read
// and write system calls (rchar and wchar). TCP connections and files are included,
// datagrams are not.
func (p *Proc) IOBytes() (read, written int64, err error) { return processIO(p.PID()) }

func processIO(pid int) (read, written int64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, err := strconv.ParseInt(value, 10, 64)
		switch {
		case err != nil:
			return 0, 0, err
		case name == "rchar":
			read = n
		case name == "wchar":
			written = n
		}
	}
	return read, written, nil
}

// Metrics returns the values of the daemon's unlabelled metrics by name.
func (d *Daemon) Metrics() (map[string]float64, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+d.OperatorsAddr+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	resp, err := probeClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Internal, "check the daemon's version", "GET /metrics: status %d", resp.StatusCode)
	}
	return parseMetrics(resp.Body)
}

// parseMetrics parses the Prometheus text format. It skips lines that have no value.
func parseMetrics(r io.Reader) (map[string]float64, error) {
	out := make(map[string]float64)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] = n
		}
	}
	return out, lines.Err()
}
