package objects

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// wireObject is an Object in the JSON of lists and watches.
type wireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// wireChanges is the JSON of lists and watches.
type wireChanges struct {
	Cursor  uint64       `json:"cursor"`
	Objects []wireObject `json:"objects"`
}

// wireVM is an element of the JSON list of VMs.
type wireVM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// MarshalJSON implements json.Marshaler in the object API's format.
func (c Changes) MarshalJSON() ([]byte, error) {
	wire := wireChanges{Cursor: c.Cursor, Objects: []wireObject{}}
	for _, o := range c.Objects {
		wire.Objects = append(wire.Objects, wireObject{Key: o.Key, Version: uint64(o.Version), Value: o.Value})
	}
	return json.Marshal(wire)
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Changes) UnmarshalJSON(raw []byte) error {
	var wire wireChanges
	if err := json.Unmarshal(raw, &wire); err != nil {
		return err
	}
	*c = Changes{Cursor: wire.Cursor}
	for _, o := range wire.Objects {
		c.Objects = append(c.Objects, Object{Key: o.Key, Version: Version(o.Version), Value: o.Value})
	}
	return nil
}

// MarshalJSON implements json.Marshaler in the object API's format.
func (s VMStatus) MarshalJSON() ([]byte, error) {
	return json.Marshal(wireVM(s))
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *VMStatus) UnmarshalJSON(raw []byte) error {
	var wire wireVM
	if err := json.Unmarshal(raw, &wire); err != nil {
		return err
	}
	*s = VMStatus(wire)
	return nil
}

func formatETag(v Version) string {
	return `"` + strconv.FormatUint(uint64(v), 10) + `"`
}

// parseETag returns 0 for a tag that is missing or not in formatETag's format.
func parseETag(tag string) Version {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return Version(v)
}

func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// serverError returns an error for responses of status 5xx, so that the circuit
// breaker counts them as failures.
func serverError(resp *apiResponse) error {
	if resp.status < http.StatusInternalServerError {
		return nil
	}
	err := fmt.Errorf("the object API answered %d", resp.status)
	if resp.status == http.StatusServiceUnavailable {
		return errors.Join(errNoEffect, err)
	}
	return err
}

// statusError converts the other statuses into typed errors.
func statusError(resp *apiResponse, c call) error {
	switch resp.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		if c.write {
			return errConflict(c.key)
		}
		return errNotFound(c.key)
	case http.StatusConflict, http.StatusPreconditionFailed:
		return errConflict(c.key)
	case http.StatusRequestEntityTooLarge:
		return errTooLarge(c.key)
	case http.StatusTooManyRequests:
		return errThrottled(resp.retryAfter)
	default:
		return errUnavailable(fmt.Errorf("the object API answered %d", resp.status))
	}
}

// markDialError marks failures to connect as having had no effect.
func markDialError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Join(errNoEffect, err)
	}
	return err
}
