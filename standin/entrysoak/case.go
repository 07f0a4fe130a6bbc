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
	return fmt.Sprintf("%d %d %v %s", c.Seed, c.Nodes, c.Length, strings.Join(c.Faults, ","))
}

// parseCases reads lines of the form "SEED NODES LENGTH FAULT,... | cause". Empty lines
// and lines that begin with # are skipped.
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
	if len(fields) != 4 || strings.TrimSpace(cause) == "" {
		return Case{}, fmt.Errorf("want SEED NODES LENGTH FAULT,... | cause")
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
	return Case{Seed: seed, Nodes: nodes, Length: length, Faults: faults}, err
}
