package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/primrosemoor/primrosemoor/load"
	"github.com/primrosemoor/primrosemoor/trace"
)

// progressInterval is the time between progress lines.
const progressInterval = time.Second

// runIDLength is the number of random characters in a run ID.
const runIDLength = 8

// playFlags are the flags of all commands that send requests.
type playFlags struct {
	URL           []string      `help:"Base URLs of nodes, on loopback addresses; requests go to them in turn." required:"" env:"PRIMROSEMOOR_URLS"`
	Keys          string        `help:"TOML file of bearer keys by team; default: the examples' keys."`
	AnswerTimeout time.Duration `help:"Time allowed for one answer." default:"2m"`
	Plot          string        `help:"Write the distribution of first-token times to this .svg or .png file."`
	Quiet         bool          `help:"Print no progress."`
}

// player returns a player for the flags.
func (f playFlags) player() (*load.Player, error) {
	if f.Plot != "" {
		if err := load.CheckPlotFile(f.Plot); err != nil {
			return nil, err
		}
	}
	keys, err := f.keys()
	if err != nil {
		return nil, err
	}
	return load.NewPlayer(load.Options{
		URLs:          f.URL,
		Key:           keys,
		RunID:         rand.Text()[:runIDLength] + "-",
		AnswerTimeout: f.AnswerTimeout,
	})
}

// keys returns a function that looks up a team's bearer key.
func (f playFlags) keys() (func(string) string, error) {
	if f.Keys == "" {
		return func(team string) string { return team + "-example-key" }, nil
	}
	text, err := os.ReadFile(f.Keys)
	if err != nil {
		return nil, badInput(err.Error(), "give a readable file")
	}
	var keys map[string]string
	if err := toml.Unmarshal(text, &keys); err != nil {
		return nil, badInput(f.Keys+": "+err.Error(), `write lines such as: guests = "key"`)
	}
	return func(team string) string { return keys[team] }, nil
}

// play sends the requests and prints the progress to standard error.
func (f playFlags) play(ctx context.Context, a *app, p *load.Player, requests []trace.Request) []trace.Result {
	if f.Quiet {
		return p.Play(ctx, requests)
	}
	done := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		a.showProgress(p, len(requests), done)
	}()
	results := p.Play(ctx, requests)
	close(done)
	<-stopped
	return results
}

func (a *app) showProgress(p *load.Player, requests int, done <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			now := p.Progress()
			fmt.Fprintf(a.Stderr, "sent %d of %d, finished %d, in flight %d\n", now.Sent, requests, now.Finished, now.InFlight)
		}
	}
}

// loadCommand generates a load and sends it.
type loadCommand struct {
	playFlags
	Mix         string        `help:"Mix of requests: drumlin or kowhai." enum:"drumlin,kowhai" default:"drumlin"`
	Rate        float64       `help:"Requests a second." default:"10"`
	Duration    time.Duration `help:"Time over which requests are sent; at most 30m." default:"10s"`
	Burst       []string      `help:"AT:FOR:FACTOR, such as 10s:5s:10; may be repeated." sep:"none"`
	LengthScale float64       `help:"Multiplies prompt and answer lengths." default:"1"`
	PrefixReuse float64       `help:"Share of chats that begin with a shared prefix." default:"1"`
	Team        []string      `help:"Send only requests of these teams."`
	Tier        []string      `help:"Send only requests of these tiers."`
	Seed        uint64        `help:"Equal seeds give equal requests." default:"1"`
}

// Run implements the command.
func (c *loadCommand) Run(a *app) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	player, err := c.player()
	if err != nil {
		return err
	}
	profiles := trace.Profiles()
	i := slices.IndexFunc(profiles, func(p trace.Profile) bool { return p.Name == c.Mix })
	requests := trace.Generate(profiles[i], options)
	if len(requests) == 0 {
		return badInput("no request was generated", "check --rate, --duration, --team and --tier")
	}
	results := c.play(a.ctx, a, player, requests)
	return c.report(a, results)
}

func (c *loadCommand) options() (trace.Options, error) {
	options := trace.Options{Seed: c.Seed, Rate: c.Rate, Duration: c.Duration, LengthScale: c.LengthScale,
		PrefixReuse: c.PrefixReuse, Teams: c.Team, Tiers: c.Tier}
	expected := c.Rate * c.Duration.Seconds()
	for _, text := range c.Burst {
		b, err := parseBurst(text)
		if err != nil {
			return options, err
		}
		options.Bursts = append(options.Bursts, b)
		expected += c.Rate * b.Factor * b.For.Seconds()
	}
	if c.Rate <= 0 || c.LengthScale <= 0 || c.PrefixReuse < 0 || c.PrefixReuse > 1 {
		return options, badInput("--rate, --length-scale or --prefix-reuse is out of range",
			"write a positive rate and scale, and a share from 0 to 1")
	}
	if c.Duration <= 0 || c.Duration > trace.MaxDuration || expected > trace.MaxRequests {
		return options, badInput(fmt.Sprintf("about %.0f requests in %v", expected, c.Duration),
			fmt.Sprintf("keep to %d requests and %v", trace.MaxRequests, trace.MaxDuration))
	}
	return options, nil
}

func parseBurst(text string) (trace.Burst, error) {
	invalid := badInput(fmt.Sprintf("%q is not a valid burst", text), "write AT:FOR:FACTOR, such as 10s:5s:10")
	parts := strings.Split(text, ":")
	if len(parts) != 3 {
		return trace.Burst{}, invalid
	}
	at, err1 := time.ParseDuration(parts[0])
	length, err2 := time.ParseDuration(parts[1])
	factor, err3 := strconv.ParseFloat(parts[2], 64)
	if err1 != nil || err2 != nil || err3 != nil || factor <= 0 || length <= 0 {
		return trace.Burst{}, invalid
	}
	return trace.Burst{At: at, For: length, Factor: factor}, nil
}

// report writes the plot, if requested, and prints a summary of the results.
func (f playFlags) report(a *app, results []trace.Result) error {
	if f.Plot != "" {
		if err := load.WritePlot(f.Plot, results); err != nil {
			return err
		}
	}
	report := load.Summarize(results)
	if a.json {
		return a.printJSON(report)
	}
	return report.WriteTable(a.Stdout)
}
