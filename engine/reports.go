package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxReportBytes bounds a load report or a list of cache events.
const maxReportBytes = 4 << 20

// Load is a target's load report. It lags behind the truth.
type Load struct {
	Running       uint32 `json:"running"`
	Waiting       uint32 `json:"waiting"`
	PrefillTokens uint64 `json:"prefill_tokens"`
	DecodeTokens  uint64 `json:"decode_tokens"`
	AtUnixMS      int64  `json:"at_unix_ms"`
}

// CacheEventKind tells what happened to a block of the prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// BlockHash is the chained hash of a prompt block, in hexadecimal on the wire.
type BlockHash uint64

// UnmarshalText parses hexadecimal digits.
func (h *BlockHash) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(strings.TrimPrefix(string(text), "0x"), 16, 64)
	if err != nil {
		return fmt.Errorf("block hash: %w", err)
	}
	*h = BlockHash(v)
	return nil
}

// CacheEvent is one change of a target's prefix cache. A gap in Seq means that
// events were lost.
type CacheEvent struct {
	Seq   uint64         `json:"seq"`
	Kind  CacheEventKind `json:"kind"`
	Block BlockHash      `json:"block"`
}

// CacheEvents is the answer to a poll; Next is the next poll's since.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// Load fetches the load report of the target at address.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.getJSON(ctx, address, "/v1/load", &load)
	return load, err
}

// CacheEvents fetches the cache events from sequence number since on.
func (c *Client) CacheEvents(ctx context.Context, address string, since uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.getJSON(ctx, address, "/v1/cache-events?since="+strconv.FormatUint(since, 10), &events)
	return events, err
}

func (c *Client) getJSON(ctx context.Context, address, path string, v any) error {
	req, err := newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	resp, err := c.send(req, time.Time{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(v); err != nil {
		return fmt.Errorf("decode %s of target %s: %w", path, address, err)
	}
	return nil
}
