package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

// expect implements "expect GROUP MEASURE OPERATOR NUMBER".
func (s *session) expect(args []string) error {
	if len(args) != 4 {
		return fmt.Errorf("usage: expect GROUP MEASURE OPERATOR NUMBER")
	}
	g, ok := s.groups[args[0]]
	if !ok {
		return fmt.Errorf("group %q was not sent", args[0])
	}
	got, err := s.measure(g, args[1])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[3])
	if err != nil {
		return fmt.Errorf("%q is not a number", args[3])
	}
	satisfied, err := compare(got, args[2], want)
	if err != nil {
		return err
	}
	if !satisfied {
		return fmt.Errorf("%s %s is %d, want %s %d", g.name, args[1], got, args[2], want)
	}
	return nil
}

func compare(got int, operator string, want int) (bool, error) {
	switch operator {
	case "==":
		return got == want, nil
	case ">=":
		return got >= want, nil
	case "<=":
		return got <= want, nil
	default:
		return false, fmt.Errorf("operator %q: want ==, >= or <=", operator)
	}
}

// measure returns the value of a measure over a group's requests. A name that is
// not a result, an outcome or "runs" is taken as a problem type, and the measure
// is the number of requests whose stored response has that problem.
func (s *session) measure(g *group, name string) (int, error) {
	switch name {
	case "answered":
		return g.count(func(r history.Response) bool { return r.Result == history.ResultAnswer }), nil
	case "broken":
		return g.count(func(r history.Response) bool { return r.Result == history.ResultBroken }), nil
	case "unreachable":
		return g.count(func(r history.Response) bool { return r.Result == history.ResultUnreachable }), nil
	case history.OutcomeNotRun, history.OutcomeUnknown:
		return g.count(func(r history.Response) bool { return r.Outcome == name }), nil
	case "runs":
		return s.countRuns(func(line record.Line) bool {
			return strings.HasPrefix(line.RequestID, g.name+"-")
		})
	}
	return g.count(func(r history.Response) bool { return r.Problem == name }), nil
}

// expectTarget implements "expect-target TARGET OPERATOR NUMBER" on the number
// of runs that the target has started.
func (s *session) expectTarget(args []string) error {
	if len(args) != 3 {
		return fmt.Errorf("usage: expect-target TARGET OPERATOR NUMBER")
	}
	got, err := s.countRuns(func(line record.Line) bool { return line.Target == args[0] })
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return fmt.Errorf("%q is not a number", args[2])
	}
	satisfied, err := compare(got, args[1], want)
	if err == nil && !satisfied {
		err = fmt.Errorf("%s started %d runs, want %s %d", args[0], got, args[1], want)
	}
	return err
}

// countRuns counts the run starts recorded by targets that match.
func (s *session) countRuns(match func(record.Line) bool) (int, error) {
	paths, err := filepath.Glob(filepath.Join(s.directory, "record-*.jsonl"))
	if err != nil {
		return 0, err
	}
	n := 0
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return 0, err
		}
		lines, err := history.ReadLines[record.Line](file)
		file.Close()
		if err != nil {
			return 0, err
		}
		starts := slices.DeleteFunc(lines, func(l record.Line) bool {
			return l.Kind != record.KindStart || !match(l)
		})
		n += len(starts)
	}
	return n, nil
}
