package capacity

import (
	"fmt"
	"math"
)

// Rates and limits of the target deployment, from the deployment's
// requirements. CPU is in percent of a core, memory in MB, bytes, writes and
// reads are per second, object sizes in kB, and the time in force in seconds.
const (
	peakRequests   = 6100.0
	changesPerDay  = 18000.0
	failuresPerDay = 32.0
	replacedPerDay = 600.0
	secondsPerDay  = 86400.0

	limitCPU     = 1.6
	limitMemory  = 128.0
	limitBytes   = 3000.0
	limitWrites  = 300.0
	limitReads   = 2000.0
	limitObject  = 1048.576
	limitInForce = 9.0

	nodesPerZone     = float64(targetNodes) / float64(targetZones)
	requestsPerNode  = peakRequests / targetNodes
	changesPerSecond = changesPerDay / secondsPerDay
	// membersPerSecond is the rate of membership changes: each failed or replaced
	// node leaves and joins again.
	membersPerSecond = 2 * (failuresPerDay + replacedPerDay) / secondsPerDay
)

// Settings and sizes used by rows that are calculated rather than measured.
const (
	ledgerShards     = 16.0
	commitsPerSecond = 10.0
	// ledgerEntryBytes is the encoded size of one claim.
	ledgerEntryBytes = 47.0
	// keyedFraction is the fraction of requests with an idempotency key.
	keyedFraction = 0.05
	// vmEntryBytes is the size of one entry of the platform's list of VMs.
	vmEntryBytes = 30.0
	// maxPartsPerShard is the number of objects of up to 1 MB that a new owner of
	// a shard can read within the time of a takeover.
	maxPartsPerShard = 20.0
)

// Row compares one limit of the target deployment with the projected value.
type Row struct {
	Limit     string
	Projected float64
	Allowed   float64
	Unit      string
	// Slopes names the series used; "analytic" marks a value that was calculated.
	Slopes    string
	Mechanism string
}

// Fits reports whether the projection is within the limit.
func (r Row) Fits() bool {
	return r.Projected <= r.Allowed
}

// Headroom returns the unused part of the limit in percent.
func (r Row) Headroom() float64 {
	return (1 - r.Projected/r.Allowed) * 100
}

// RoleCost describes the cost of one role of a node at the size of the target
// deployment.
type RoleCost struct {
	Role      string
	State     string
	Traffic   string
	Store     string
	CPU       string
	Mechanism string
}

// at projects a series to a size. It returns NaN if there is no such series.
func (r *Result) at(name string, size float64) float64 {
	for _, s := range r.Series {
		if s.Name == name {
			return s.project(size)
		}
	}
	return math.NaN()
}

// project returns the fitted line at a size. For a falling line it returns the
// largest measured value instead, since no cost here decreases with the size.
func (s Series) project(size float64) float64 {
	if s.Fit.Slope >= 0 {
		return s.Fit.At(size)
	}
	largest := 0.0
	for _, p := range s.Points {
		largest = math.Max(largest, p.Value)
	}
	return largest
}

// slope returns the increase of a series per unit of size.
func (r *Result) slope(name string) float64 {
	for _, s := range r.Series {
		if s.Name == name {
			return s.Fit.Slope
		}
	}
	return math.NaN()
}

// Limits returns the projection for each limit of the target deployment.
func (r *Result) Limits() []Row {
	return []Row{
		{"control, processor", r.controlCPU(), limitCPU, "% of a core",
			"rest-cpu, change-cpu, topology-time", "heartbeats to one reporter; one derived topology for each change"},
		{"control, memory", r.at(seriesRSS, targetVMs), limitMemory, "MB",
			"rss (a quarter of a process of four nodes)", "each node holds the whole configuration and 13 targets' state"},
		{"control, bytes sent", r.controlBytes(), limitBytes, "B/s",
			"rest-sent, change-sent", "reports relayed as differences; changes as parts of about 16 VMs"},
		{"object API, writes at rest", r.at(seriesRestWrites, targetNodes) + changesPerSecond, limitWrites, "writes/s",
			"rest-store-writes", "one zone report a second for each availability zone"},
		{"object API, writes with claims at the peak", r.at(seriesRestWrites, targetNodes) + ledgerShards*commitsPerSecond, limitWrites, "writes/s",
			"rest-store-writes; claims analytic: shards × commits a second", "group commit: one write in flight for each shard"},
		{"object API, reads", r.at(seriesRestReads, targetNodes), limitReads, "reads/s",
			"rest-store-reads", "only reporters and two watchers in each availability zone read"},
		{"largest configuration object", math.Max(r.at(seriesHead, targetVMs), r.at(seriesPart, targetVMs)), limitObject, "kB",
			"config-head, config-part-max", "register cut into buckets by VM name; rules in one part"},
		{"zone report", r.at(seriesReport, targetNodes) / 1000, limitObject, "kB", "zone-report", "one object for each availability zone"},
		{"configuration in force everywhere", r.at(seriesChangeMax, targetNodes), limitInForce, "s", "change-time-max",
			"two watchers in each availability zone, relay over peer links, comparison"},
		{"ledger, parts that a shard's next owner reads", r.ledgerPartsPerShard(), maxPartsPerShard, "objects of 1 MB",
			"analytic: keyed requests × a day ÷ shards", "a small segment rewritten by each commit, earlier claims in parts"},
		{"list of VMs at a zone reporter", targetVMs * vmEntryBytes, limitBytes, "B/s",
			"analytic: VMs × a line, each second", "every reporter reads the whole list"},
	}
}

// controlCPU returns the CPU use of a node without requests in percent of a core:
// idle, for configuration changes, and for membership changes, of which each
// rebuilds the topology.
func (r *Result) controlCPU() float64 {
	perChange := r.at(seriesChangeCPU, targetVMs) / 1000
	perMember := r.at(seriesTopology, targetVMs) / 1000
	return r.at(seriesRestCPU, targetNodes) + 100*(changesPerSecond*perChange+membersPerSecond*perMember)
}

// controlBytes returns the bytes per second that a node sends to peers without
// requests.
func (r *Result) controlBytes() float64 {
	return r.at(seriesRestSent, targetNodes) + changesPerSecond*r.at(seriesChangeSent, targetNodes)
}

// ledgerPartsPerShard returns the number of objects that hold a day of claims of
// one shard.
func (r *Result) ledgerPartsPerShard() float64 {
	perShard := peakRequests * keyedFraction * secondsPerDay * ledgerEntryBytes / ledgerShards
	return perShard / (limitObject * 1000)
}

// Roles returns the projected cost of each role for one node.
func (r *Result) Roles() []RoleCost {
	permitBytes := r.slope(seriesPermitBytes) * 1000
	permitCPU := r.slope(seriesPermitCPU)
	claims := peakRequests * keyedFraction
	return []RoleCost{
		{"entry", fmt.Sprintf("%.1f requests/s, their bodies and streams", requestsPerNode),
			fmt.Sprintf("%.1f kB/s to owners (traffic)", requestsPerNode*permitBytes/1000), "none",
			fmt.Sprintf("%.2f %% of a core for permits", requestsPerNode*permitCPU/10), "dispatches its own requests only"},
		{"group owner", fmt.Sprintf("%d targets, their rates, prefix index and queue", vmsPerNode),
			fmt.Sprintf("%.1f kB/s to entries (traffic)", requestsPerNode*permitBytes/1000), "none",
			"in the entry's figure", "groups of about 13 targets, rendezvous hashing"},
		{"ledger owner", fmt.Sprintf("%.0f claims/s over %.0f shards", claims, ledgerShards), "one call a claim (traffic)",
			fmt.Sprintf("%.0f writes/s over all nodes at most", ledgerShards*commitsPerSecond), "not measured apart", "conditional update, group commit"},
		{"zone reporter", fmt.Sprintf("%.0f nodes' heartbeats", nodesPerZone),
			fmt.Sprintf("%.0f B/s a node, mean", r.at(seriesRestSent, targetNodes)),
			fmt.Sprintf("%.1f writes/s, %.1f reads/s over all nodes", r.at(seriesRestWrites, targetNodes), r.at(seriesRestReads, targetNodes)),
			fmt.Sprintf("%.2f %% of a core a node, mean", r.at(seriesRestCPU, targetNodes)), "one report object for each availability zone"},
		{"configuration relay", fmt.Sprintf("%.1f MB of configuration", r.at(seriesConfigHeap, targetVMs)),
			fmt.Sprintf("%.0f B for each change and node", r.at(seriesChangeSent, targetNodes)),
			fmt.Sprintf("%d watches wait", 2*targetZones),
			fmt.Sprintf("%.1f ms for each change", r.at(seriesChangeCPU, targetVMs)), "deltas by part from the next peer"},
		{"operator's tool", "none", "one status call for each node asked",
			"2 + changed parts writes for each edit", "not measured", "conditional update of the head"},
	}
}
