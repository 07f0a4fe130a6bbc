package entrysoak

import (
	_ "embed"
	"fmt"
	"strconv"
	"strings"
	"time"
)

//go:embed regressions.txt
var regressions string

// Case is one run that can be repeated. It names its disturbances, so that it stays the
// same when new kinds are added.
type Case struct {
	Seed   uint64
	Nodes  int
	Length time.Duration
	Faults []string
	Load
}

// Load is what the nodes have to bear beside the disturbances.
type Load struct {
	// Share is the share of a processor core that each node gets; 0 is no limit.
	Share float64
	// Callers is the number of further callers, who send one request right after the other.
	Callers int
	// Events is the number of events of a stream; 0 is eventsPerStream.
	Events int
}

// String returns the load as a field of regressions.txt, empty if there is none.
func (l Load) String() string {
	if l == (Load{}) {
		return ""
	}
	return fmt.Sprintf(" share=%v,callers=%d,events=%d", l.Share, l.Callers, l.Events)
}

func parseLoad(field string) (l Load, err error) {
	_, err = fmt.Sscanf(field, "share=%g,callers=%d,events=%d", &l.Share, &l.Callers, &l.Events)
	return l, err
}

// FaultNames returns the names of all kinds of disturbances, in order.
func FaultNames() []string {
	names := make([]string, len(allFaults))
	for i, f := range allFaults {
		names[i] = f.name
	}
	return names
}

// Regressions returns the runs that once violated a promise.
func Regressions() ([]Case, error) { return parseCases(regressions) }

// String returns the case as a line of regressions.txt without its cause.
func (c Case) String() string {
	return fmt.Sprintf("%d %d %v %s%v", c.Seed, c.Nodes, c.Length, strings.Join(c.Faults, ","), c.Load)
}

// parseCases reads lines of the form "SEED NODES LENGTH FAULT,... [LOAD] | cause". Empty
// lines and lines that begin with # are skipped.
func parseCases(text string) ([]Case, error) {
	var cases []Case
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		c, err := parseCase(line)
		if err != nil {
			return nil, fmt.Errorf("entrysoak: case %q: %w", line, err)
		}
		cases = append(cases, c)
	}
	return cases, nil
}

func parseCase(line string) (Case, error) {
	run, cause, _ := strings.Cut(line, "|")
	fields := strings.Fields(run)
	if len(fields) < 4 || len(fields) > 5 || strings.TrimSpace(cause) == "" {
		return Case{}, fmt.Errorf("want SEED NODES LENGTH FAULT,... [LOAD] | cause")
	}
	var load Load
	if len(fields) == 5 {
		var err error
		if load, err = parseLoad(fields[4]); err != nil {
			return Case{}, err
		}
	}
	seed, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return Case{}, err
	}
	nodes, err := strconv.Atoi(fields[1])
	if err != nil {
		return Case{}, err
	}
	length, err := time.ParseDuration(fields[2])
	if err != nil {
		return Case{}, err
	}
	faults := strings.Split(fields[3], ",")
	_, err = selectFaults(faults)
	return Case{Seed: seed, Nodes: nodes, Length: length, Faults: faults, Load: load}, err
}
