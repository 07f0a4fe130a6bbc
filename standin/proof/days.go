package proof

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Day is one simulated day that the platform's test bench ran, as recorded in
// its journal.
type Day struct {
	Name string
	// Site is the name of the deployment.
	Site string
	// Troubles are the kinds of failures that were injected on the day.
	Troubles []string
	// Rules is the number of violations by rule.
	Rules map[string]int
	// Fault is the reason why the day is not valid; empty if it is.
	Fault string
	// Exits is the number of processes that exited unexpectedly.
	Exits float64 `json:"restarts"`
}

// benchRun is one entry of the journal: one run of the test bench.
type benchRun struct {
	At   []string `json:"at"`
	Site string   `json:"site"`
	Days []Day    `json:"days"`
}

// ReadDays reads the days of all bench runs in a journal directory that started
// at since or later.
func ReadDays(directory string, since time.Time) ([]Day, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	var days []Day
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read journal: %w", err)
		}
		var run benchRun
		if err := json.Unmarshal(content, &run); err != nil {
			return nil, fmt.Errorf("read journal: %s: %w", file, err)
		}
		if len(run.At) == 0 {
			return nil, fmt.Errorf("read journal: %s has no start time", file)
		}
		at, err := time.Parse(time.RFC3339, run.At[0])
		if err != nil {
			return nil, fmt.Errorf("read journal: %s: %w", file, err)
		}
		for _, d := range run.Days {
			if !at.Before(since) {
				d.Site = run.Site
				days = append(days, d)
			}
		}
	}
	return days, nil
}

const daysHeader = `# What days on the platform show

Made by ` + "`make days SINCE=%s`" + ` from the journal; do not edit. Each day is judged by
all rules at once. A row counts the days that held a kind of trouble, alone or
with others; "broken" names the rules that were broken on such days, and faults.

`

// WriteDays renders, for each kind of failure, the number of days on which it was
// injected at each site, and the rules that were violated on these days.
func WriteDays(w io.Writer, days []Day, since time.Time) error {
	sites, kinds := make(map[string]bool), make(map[string]bool)
	for _, d := range days {
		sites[d.Site] = true
		for _, k := range d.Troubles {
			kinds[k] = true
		}
	}
	columns := slices.Sorted(maps.Keys(sites))
	var b strings.Builder
	fmt.Fprintf(&b, daysHeader, since.UTC().Format(time.RFC3339))
	fmt.Fprintf(&b, "| trouble | %s | broken |\n|---|%s---|\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	writeDaysRow(&b, "all days", columns, days)
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		var matching []Day
		for _, d := range days {
			if slices.Contains(d.Troubles, kind) {
				matching = append(matching, d)
			}
		}
		writeDaysRow(&b, kind, columns, matching)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeDaysRow writes the table row of the given days.
func writeDaysRow(b *strings.Builder, kind string, sites []string, days []Day) {
	dayCounts, violationDays := make(map[string]int), make(map[string]int)
	for _, d := range days {
		dayCounts[d.Site]++
		for rule := range d.Rules {
			violationDays[rule]++
		}
		if d.Fault != "" {
			violationDays["fault"]++
		}
		if d.Exits > 0 {
			violationDays["exits of its own"]++
		}
	}
	fmt.Fprintf(b, "| %s |", kind)
	for _, s := range sites {
		fmt.Fprintf(b, " %d |", dayCounts[s])
	}
	var violations []string
	for _, rule := range slices.Sorted(maps.Keys(violationDays)) {
		violations = append(violations, fmt.Sprintf("%s on %d", rule, violationDays[rule]))
	}
	if len(violations) == 0 {
		violations = []string{"–"}
	}
	fmt.Fprintf(b, " %s |\n", strings.Join(violations, ", "))
}
