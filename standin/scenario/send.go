package scenario

import (
	"flag"
	"fmt"
	"io"
	"time"
)

// entryAny selects a pseudo-random entry node for each request, determined by
// the seed.
const entryAny = "any"

// sendOptions holds the flags of the send command.
type sendOptions struct {
	Kind        string
	Count       int
	Rate        float64
	Parallel    int
	Entry       string
	Team        string
	Tokens      int
	Prompt      int
	Resend      int
	ResendAfter time.Duration
	Timeout     time.Duration
	Deadline    time.Duration
	NoKey       bool
	Duplicates  int
	Crash       bool
	Background  bool
}

const (
	defaultParallel    = 64
	defaultResendAfter = 300 * time.Millisecond
	defaultSendTimeout = 30 * time.Second
	// maxCount is the maximum number of requests in one group.
	maxCount = 20_000
)

// parseSend parses the arguments of "send NAME [flags]".
func parseSend(args []string) (string, sendOptions, error) {
	var o sendOptions
	if len(args) == 0 {
		return "", o, fmt.Errorf("usage: send NAME [flags]")
	}
	flags := flag.NewFlagSet("send", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&o.Kind, "kind", kindStream, "stream, whole, book, charge, dispatch or lookup")
	flags.IntVar(&o.Count, "count", 1, "number of requests")
	flags.Float64Var(&o.Rate, "rate", 0, "requests per second; 0 is limited only by -parallel")
	flags.IntVar(&o.Parallel, "parallel", defaultParallel, "maximum number of concurrent requests")
	flags.StringVar(&o.Entry, "entry", entryAny, "entry node")
	flags.StringVar(&o.Team, "team", "guests", "team that sends the requests")
	flags.IntVar(&o.Tokens, "tokens", 16, "output tokens of a chat")
	flags.IntVar(&o.Prompt, "prompt", 200, "bytes of prompt")
	flags.IntVar(&o.Resend, "resend", 0, "number of times that a request without an answer is resent")
	flags.DurationVar(&o.ResendAfter, "resend-after", defaultResendAfter, "delay before a resend")
	flags.DurationVar(&o.Timeout, "timeout", defaultSendTimeout, "time after which the caller abandons an attempt")
	flags.DurationVar(&o.Deadline, "deadline", 0, "deadline for the first token; 0 uses the node's default")
	flags.BoolVar(&o.NoKey, "no-key", false, "send no Idempotency-Key")
	flags.IntVar(&o.Duplicates, "duplicates", 0, "number of additional concurrent sends of each request, through other entry nodes")
	flags.BoolVar(&o.Crash, "crash", false, "send prompts that crash the engine that reads them")
	flags.BoolVar(&o.Background, "background", false, "do not wait for the responses")
	if err := flags.Parse(args[1:]); err != nil {
		return "", o, err
	}
	if flags.NArg() > 0 || o.Count < 1 || o.Count > maxCount || o.Parallel < 1 {
		return "", o, fmt.Errorf("send: want flags only, 1 to %d requests and a parallel above 0", maxCount)
	}
	return args[0], o, nil
}
