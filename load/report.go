package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primrosemoor/primrosemoor/trace"
)

// significantDigits is the precision of the histograms in decimal digits.
const significantDigits = 3

// Quantiles summarises one distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Count is the number of requests with an ending and an error kind.
type Count struct {
	Ending trace.Ending `json:"ending"`
	Error  string       `json:"error"`
	Count  int          `json:"count"`
}

// Row summarises the requests of one tier, or of all tiers.
type Row struct {
	Tier     string `json:"tier"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// Useful counts the goodput: complete answers that began within their
	// deadline.
	Useful  int `json:"useful"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
	// Tokens counts the tokens of answers, Prompt those of the answered
	// prompts, and Cached the part of Prompt that was in a prefix cache.
	Tokens     int       `json:"tokens"`
	Prompt     int       `json:"prompt_tokens"`
	Cached     int       `json:"cached_tokens"`
	FirstToken Quantiles `json:"first_token"`
	Gap        Quantiles `json:"gap"`
	Total      Quantiles `json:"total"`
	Errors     []Count   `json:"errors"`

	firstToken, gap, total *hdrhistogram.Histogram
}

// Report summarises a run.
type Report struct {
	Requests int     `json:"requests"`
	Seconds  float64 `json:"seconds"`
	// Late is the delay of the sender itself against the schedule.
	Late Quantiles `json:"late"`
	Rows []*Row    `json:"rows"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, trace.MaxDuration.Microseconds(), significantDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(0, d.Microseconds()), trace.MaxDuration.Microseconds()))
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1e3 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P95:   ms(h.ValueAtQuantile(95)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
	}
}

func newRow(tier string) *Row {
	return &Row{Tier: tier, Errors: []Count{}, firstToken: newHistogram(), gap: newHistogram(), total: newHistogram()}
}

// Summarize summarises results by tier. The last row covers all tiers.
func Summarize(results []trace.Result) *Report {
	r := &Report{Requests: len(results)}
	rows := make(map[string]*Row)
	all := newRow("all")
	lateness := newHistogram()
	for i := range results {
		result := &results[i]
		tier := result.Request.Tier
		if rows[tier] == nil {
			rows[tier] = newRow(tier)
		}
		rows[tier].add(result)
		all.add(result)
		record(lateness, result.Late)
		r.Seconds = max(r.Seconds, (result.Sent - result.Late + result.Total).Seconds())
	}
	for _, tier := range slices.Sorted(maps.Keys(rows)) {
		r.Rows = append(r.Rows, rows[tier].finish())
	}
	r.Rows = append(r.Rows, all.finish())
	r.Late = quantilesOf(lateness)
	return r
}

func (row *Row) add(r *trace.Result) {
	row.Sent++
	if r.Useful() {
		row.Useful++
	}
	switch r.Ending {
	case trace.EndingAnswer:
		row.addAnswer(r)
	case trace.EndingNotRun:
		row.NotRun++
	case trace.EndingUnknown, trace.EndingBroken:
		row.Unknown++
	}
	if r.Ending != trace.EndingAnswer {
		row.countError(r)
	}
}

func (row *Row) addAnswer(r *trace.Result) {
	row.Answered++
	row.Tokens += r.Tokens
	row.Prompt += r.Request.PromptTokens
	row.Cached += r.Cached
	record(row.total, r.Total)
	if r.Request.Kind != trace.KindChat {
		return
	}
	record(row.firstToken, r.FirstToken)
	for _, gap := range r.Gaps {
		record(row.gap, gap)
	}
}

func (row *Row) countError(r *trace.Result) {
	i := slices.IndexFunc(row.Errors, func(c Count) bool { return c.Ending == r.Ending && c.Error == r.Error })
	if i < 0 {
		i = len(row.Errors)
		row.Errors = append(row.Errors, Count{Ending: r.Ending, Error: r.Error})
	}
	row.Errors[i].Count++
}

// finish computes the quantiles and sorts the errors by count.
func (row *Row) finish() *Row {
	row.FirstToken, row.Gap, row.Total = quantilesOf(row.firstToken), quantilesOf(row.gap), quantilesOf(row.total)
	slices.SortFunc(row.Errors, func(a, b Count) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Error, b.Error)) })
	return row
}

// WriteTable writes the report in columns.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "TIER\tSENT\tUSEFUL\tANSWERED\tNOT RUN\tUNKNOWN\tFIRST p50\tp95\tp99\tGAP p95\tTOTAL p95\tTOKENS/S\tCACHED\t")
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%.0f ms\t%.0f ms\t%.0f ms\t%.1f ms\t%.0f ms\t%.0f\t%.0f%%\t\n",
			row.Tier, row.Sent, percent(row.Useful, row.Sent), row.Answered, row.NotRun, row.Unknown,
			row.FirstToken.P50, row.FirstToken.P95, row.FirstToken.P99, row.Gap.P95, row.Total.P95,
			float64(row.Tokens)/max(r.Seconds, 1e-3), percent(row.Cached, row.Prompt))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(r.Rows) == 0 {
		return nil
	}
	var errors []string
	for _, c := range r.Rows[len(r.Rows)-1].Errors {
		errors = append(errors, fmt.Sprintf("%s/%s=%d", c.Ending, c.Error, c.Count))
	}
	_, err := fmt.Fprintf(w, "%d requests in %.1f s; sender late p99 %.1f ms; not answered: %s\n",
		r.Requests, r.Seconds, r.Late.P99, cmp.Or(strings.Join(errors, " "), "none"))
	return err
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(1, whole))
}
