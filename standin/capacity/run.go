package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"
)

// Result is the result of one complete measurement.
type Result struct {
	Go     string   `json:"go"`
	CPUs   int      `json:"cpus"`
	Series []Series `json:"series"`
	// ChangeMax is the maximum time in seconds until a change was in force at all
	// nodes, over all cluster sizes.
	ChangeMax float64 `json:"change_max_seconds"`
}

// Sizes at which the series are measured.
var (
	// nodeSizes are multiples of the number of availability zones, so that
	// every size has the same number of zone reports.
	nodeSizes = []int{26, 39, 52, 65}
	// changeSizes are large enough that each availability zone has nodes that do
	// not watch the configuration.
	changeSizes = []int{39, 52, 65, 78}
	vmSizes     = []int{650, 1300, 2600, 5200}
	permitSizes = []int{1000, 2000, 4000, 8000}
	claimRates  = []int{50, 100, 200, 400, 800}
)

// changeNodes is the size of the cluster in which the cost of a change is
// measured by the size of the configuration.
const changeNodes = 4

// seriesRecorder collects points by series name, in order of first use, and
// prints each of them to out.
type seriesRecorder struct {
	out    io.Writer
	order  []string
	series map[string]*Series
}

func (r *seriesRecorder) add(name, of, unit string, size, value float64) {
	s, ok := r.series[name]
	if !ok {
		s = &Series{Name: name, Of: of, Unit: unit}
		r.series[name] = s
		r.order = append(r.order, name)
	}
	s.Points = append(s.Points, Point{Size: size, Value: value})
	fmt.Fprintf(r.out, "%s at %.0f %s: %.6g %s\n", name, size, of, value, unit)
}

// Run measures all series, which takes several minutes, and prints progress to
// out.
func Run(out io.Writer) (*Result, error) {
	r := &seriesRecorder{out: out, series: make(map[string]*Series)}
	for _, measure := range []func(*seriesRecorder) error{recordTopology, recordIdle, recordChanges, recordChangesByConfigSize, recordPermits, recordClaims} {
		if err := measure(r); err != nil {
			return nil, err
		}
	}
	result := &Result{Go: runtime.Version(), CPUs: runtime.NumCPU()}
	for _, name := range r.order {
		s := r.series[name]
		result.Series = append(result.Series, NewSeries(s.Name, s.Of, s.Unit, s.Points))
		if name == seriesChangeMax {
			for _, p := range s.Points {
				result.ChangeMax = max(result.ChangeMax, p.Value)
			}
		}
	}
	return result, nil
}

// Names of the series in the page, the plots and the JSON file.
const (
	seriesTopology     = "topology-time"
	seriesConfigHeap   = "config-heap"
	seriesRestCPU      = "rest-cpu"
	seriesRestSent     = "rest-sent"
	seriesRestHeap     = "rest-heap"
	seriesRestReads    = "rest-store-reads"
	seriesRestWrites   = "rest-store-writes"
	seriesRestStore    = "rest-store-bytes"
	seriesChangeMax    = "change-time-max"
	seriesChangeSent   = "change-sent"
	seriesChangeCPU    = "change-cpu"
	seriesPermitBytes  = "permit-bytes"
	seriesPermitCPU    = "permit-cpu"
	seriesRSS          = "rss"
	seriesHead         = "config-head"
	seriesPart         = "config-part-max"
	seriesReport       = "zone-report"
	seriesClaimWrites  = "claim-store-writes"
	seriesClaimBytes   = "claim-store-bytes"
	seriesClaimWaitP99 = "claim-wait-p99"
)

func recordTopology(r *seriesRecorder) error {
	for _, vms := range vmSizes {
		r.add(seriesTopology, "VMs", "ms", float64(vms), measureTopology(vms, vms/vmsPerNode).Seconds()*1000)
		r.add(seriesConfigHeap, "VMs", "MB", float64(vms), measureConfigMemory(vms)/1e6)
	}
	return nil
}

func recordIdle(r *seriesRecorder) error {
	for _, n := range nodeSizes {
		idle, err := measureIdle(n)
		if err != nil {
			return fmt.Errorf("measure %d idle nodes: %w", n, err)
		}
		size := float64(n)
		r.add(seriesRestCPU, "nodes", "% of a core", size, idle.cpu*100)
		r.add(seriesRestSent, "nodes", "B/s", size, idle.sent)
		r.add(seriesRestHeap, "nodes", "MB", size, idle.heap/1e6)
		r.add(seriesRestReads, "nodes", "reads/s", size, idle.reads)
		r.add(seriesRestWrites, "nodes", "writes/s", size, idle.writes)
		r.add(seriesRestStore, "nodes", "B/s", size, idle.bytes)
		r.add(seriesReport, "nodes", "B", size, idle.report)
	}
	return nil
}

func recordChanges(r *seriesRecorder) error {
	for _, n := range changeSizes {
		c, err := measureChanges(n, n*vmsPerNode)
		if err != nil {
			return fmt.Errorf("measure changes at %d nodes: %w", n, err)
		}
		r.add(seriesChangeMax, "nodes", "s", float64(n), c.max.Seconds())
		r.add(seriesChangeSent, "nodes", "B", float64(n), c.sent)
	}
	return nil
}

func recordChangesByConfigSize(r *seriesRecorder) error {
	for _, vms := range vmSizes {
		c, err := measureChanges(changeNodes, vms)
		if err != nil {
			return fmt.Errorf("measure changes of %d VMs: %w", vms, err)
		}
		editCPU, err := measureEditCPU(vms)
		if err != nil {
			return fmt.Errorf("measure the CPU time of an edit at %d VMs: %w", vms, err)
		}
		// The operator's edits also run in this process. Their CPU time is
		// subtracted because it is not a cost of the nodes.
		r.add(seriesChangeCPU, "VMs", "ms", float64(vms), (c.cpu-editCPU/changeNodes)*1000)
		r.add(seriesHead, "VMs", "kB", float64(vms), c.head/1000)
		r.add(seriesPart, "VMs", "kB", float64(vms), c.part/1000)
		r.add(seriesRSS, "VMs", "MB", float64(vms), c.rss/1e6)
	}
	return nil
}

func recordPermits(r *seriesRecorder) error {
	for _, count := range permitSizes {
		p, err := measurePermits(count)
		if err != nil {
			return fmt.Errorf("measure %d permits: %w", count, err)
		}
		r.add(seriesPermitBytes, "permits", "kB", float64(count), p.bytes/1000)
		r.add(seriesPermitCPU, "permits", "ms", float64(count), p.cpu*1000)
	}
	return nil
}

func recordClaims(r *seriesRecorder) error {
	for _, rate := range claimRates {
		c, err := measureClaims(rate)
		if err != nil {
			return fmt.Errorf("measure %d claims a second: %w", rate, err)
		}
		if c.failed > 0 {
			fmt.Fprintf(r.out, "%d claims failed at %d a second\n", c.failed, rate)
		}
		r.add(seriesClaimWrites, "claims/s", "writes/s", c.claims, c.writes)
		r.add(seriesClaimBytes, "claims/s", "kB/s", c.claims, c.bytes/1000)
		r.add(seriesClaimWaitP99, "claims/s", "ms", c.claims, float64(c.p99)/float64(time.Millisecond))
	}
	return nil
}
