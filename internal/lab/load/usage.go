package load

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	scrapeTimeout  = 2 * time.Second
	maxScrapeBytes = 4 << 20
)

// Names of metrics.
const (
	cpuMetric          = "process_cpu_seconds_total"
	memoryMetric       = "process_resident_memory_bytes"
	controlBytesMetric = "almondledge_control_sent_bytes_total"
)

// MetricsSource is the /metrics endpoint of one process.
type MetricsSource struct {
	// Role is the role of the process, such as balancer.
	Role string
	// URL is the address of the endpoint.
	URL string
	// Token is the bearer token, if one is needed.
	Token string
}

// RoleUsage is the resource usage of the processes of one role during the run.
type RoleUsage struct {
	// Role is the role of the processes.
	Role string `json:"role"`
	// Processes is the number of processes that answered before and after the run and were
	// not restarted.
	Processes int `json:"processes"`
	// CPUSeconds is the total CPU time of these processes.
	CPUSeconds float64 `json:"cpuSeconds"`
	// MostMemoryBytes is the largest resident memory of one process at the end.
	MostMemoryBytes float64 `json:"mostMemoryBytes"`
	// ControlBytesPerSecond is the mean rate at which one process sent control traffic.
	ControlBytesPerSecond float64 `json:"controlBytesPerSecond"`
}

// usage is one reading of a process's metrics; ok is false if the process did not answer.
type usage struct {
	ok                        bool
	at                        time.Time
	cpu, memory, controlBytes float64
}

// scrapeAll reads every source, in order.
func scrapeAll(ctx context.Context, sources []MetricsSource) []usage {
	readings := make([]usage, len(sources))
	for i, s := range sources {
		readings[i] = scrape(ctx, s)
	}
	return readings
}

// scrape reads one source.
func scrape(ctx context.Context, s MetricsSource) usage {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		return usage{}
	}
	if s.Token != "" {
		req.Header.Set("Authorization", "Bearer "+s.Token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return usage{}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return usage{}
	}
	return parseUsage(io.LimitReader(resp.Body, maxScrapeBytes))
}

// parseUsage sums each of the three metrics over its labels.
func parseUsage(r io.Reader) usage {
	u := usage{ok: true, at: time.Now()}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		name, _, _ := strings.Cut(line, "{")
		name, _, _ = strings.Cut(name, " ")
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if err != nil {
			continue
		}
		switch name {
		case cpuMetric:
			u.cpu += value
		case memoryMetric:
			u.memory += value
		case controlBytesMetric:
			u.controlBytes += value
		}
	}
	return u
}

// roleUsages returns the usage of each role between two readings. It omits processes that
// did not answer, and restarted processes, whose CPU counter fell.
func roleUsages(sources []MetricsSource, before, after []usage) []RoleUsage {
	var usages []RoleUsage
	for i, s := range sources {
		b, a := before[i], after[i]
		if !b.ok || !a.ok || a.cpu < b.cpu || !a.at.After(b.at) {
			continue
		}
		index := slices.IndexFunc(usages, func(u RoleUsage) bool { return u.Role == s.Role })
		if index < 0 {
			usages = append(usages, RoleUsage{Role: s.Role})
			index = len(usages) - 1
		}
		u := &usages[index]
		u.Processes++
		u.CPUSeconds += a.cpu - b.cpu
		u.MostMemoryBytes = max(u.MostMemoryBytes, a.memory)
		rate := (a.controlBytes - b.controlBytes) / a.at.Sub(b.at).Seconds()
		u.ControlBytesPerSecond += (rate - u.ControlBytesPerSecond) / float64(u.Processes)
	}
	return usages
}
