package tomlproto

import (
	"fmt"
	"strings"
)

// Problem describes one error in a file.
type Problem struct {
	File string
	// Line counts from 1; 0 means that the line is unknown or that the problem
	// concerns no single line.
	Line int
	// Key is the dotted path of the value, such as "vms[3].state".
	Key string
	// Found describes what is wrong with the value or the file.
	Found string
	// Remedy describes how to correct it.
	Remedy string
}

// String returns "file:line: key: found (remedy)".
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.File != "" {
		b.WriteString(": ")
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	fmt.Fprintf(&b, "%s (%s)", p.Found, p.Remedy)
	return b.String()
}

// Problems contains all problems found in one pass. It implements error.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
