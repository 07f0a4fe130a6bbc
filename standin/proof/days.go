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

// Day is one day that the users' bench played, as its journal has it.
type Day struct {
	Name string
	// Site is the deployment.
	Site string
	// Troubles are the kinds of trouble that the day held.
	Troubles []string
	// Rules are the rules that were broken, with how often.
	Rules map[string]int
	// Fault says why the day did not count; empty if it did.
	Fault string
	// Exits counts the processes that ended by themselves.
	Exits float64 `json:"restarts"`
}

// play is one entry of the journal.
type play struct {
	At   []string `json:"at"`
	Site string   `json:"site"`
	Days []Day    `json:"days"`
}

// ReadDays reads the days of all plays of a journal that began at or after an
// instant.
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
		var p play
		if err := json.Unmarshal(content, &p); err != nil {
			return nil, fmt.Errorf("read journal: %s: %w", file, err)
		}
		if len(p.At) == 0 {
			return nil, fmt.Errorf("read journal: %s does not say when it was played", file)
		}
		at, err := time.Parse(time.RFC3339, p.At[0])
		if err != nil {
			return nil, fmt.Errorf("read journal: %s: %w", file, err)
		}
		for _, d := range p.Days {
			if !at.Before(since) {
				d.Site = p.Site
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

// WriteDays renders how many days were played with each kind of trouble, and
// what was broken on them.
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
	writeKind(&b, "all days", columns, days)
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		var with []Day
		for _, d := range days {
			if slices.Contains(d.Troubles, kind) {
				with = append(with, d)
			}
		}
		writeKind(&b, kind, columns, with)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeKind(b *strings.Builder, kind string, sites []string, days []Day) {
	played, broken := make(map[string]int), make(map[string]int)
	for _, d := range days {
		played[d.Site]++
		for rule := range d.Rules {
			broken[rule]++
		}
		if d.Fault != "" {
			broken["fault"]++
		}
		if d.Exits > 0 {
			broken["exits of its own"]++
		}
	}
	fmt.Fprintf(b, "| %s |", kind)
	for _, s := range sites {
		fmt.Fprintf(b, " %d |", played[s])
	}
	var found []string
	for _, rule := range slices.Sorted(maps.Keys(broken)) {
		found = append(found, fmt.Sprintf("%s on %d", rule, broken[rule]))
	}
	if len(found) == 0 {
		found = []string{"–"}
	}
	fmt.Fprintf(b, " %s |\n", strings.Join(found, ", "))
}
