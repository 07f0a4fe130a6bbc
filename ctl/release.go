package ctl

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// quarantineKey is the key of the stored QuarantineList.
const quarantineKey = "quarantine"

// maxKeyBytes bounds a bearer key read from standard input.
const maxKeyBytes = 4096

// releaseCommand releases a fingerprint from quarantine.
type releaseCommand struct {
	platformFlags
	Fingerprint string `arg:"" help:"Fingerprint in hexadecimal, as the refusal names it."`
}

// Run implements the command.
func (c *releaseCommand) Run(a *app) error {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(c.Fingerprint, "0x"), 16, 64)
	if err != nil {
		return badInput(fmt.Sprintf("%q is not a fingerprint", c.Fingerprint), "write up to 16 hexadecimal digits, as the refusal names it")
	}
	ctx, cancel, store, err := c.open(a)
	if err != nil {
		return err
	}
	defer cancel()
	_, err = objects.Update(ctx, store, releaseChange(fingerprint, rand.Text()))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.Stdout, "released %016x\n", fingerprint)
	return err
}

// releaseChange returns the change that removes a fingerprint from the stored
// list. The nonce marks the stored value, so that an update whose answer was lost
// recognises its own write.
func releaseChange(fingerprint uint64, nonce string) objects.Change {
	return objects.Change{
		Key: quarantineKey,
		Mutate: func(current objects.Object) ([]byte, error) {
			list := &schema.QuarantineList{}
			if err := proto.Unmarshal(current.Value, list); err != nil {
				return nil, fmt.Errorf("decode %s: %w", quarantineKey, err)
			}
			matches := func(q *schema.Quarantine) bool { return q.GetFingerprint() == fingerprint }
			if !slices.ContainsFunc(list.Entries, matches) {
				return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
					fmt.Sprintf("fingerprint %016x is not in quarantine", fingerprint),
					"it may have expired or been released already")
			}
			list.Entries = slices.DeleteFunc(list.Entries, matches)
			list.Nonce = nonce
			return proto.Marshal(list)
		},
		IsOwnWrite: func(stored []byte) bool {
			list := &schema.QuarantineList{}
			return proto.Unmarshal(stored, list) == nil && list.GetNonce() == nonce
		},
	}
}

// hashKeyCommand prints the hash of a bearer key.
type hashKeyCommand struct{}

// Help describes how to pass the key.
func (hashKeyCommand) Help() string {
	return "The key is read from standard input, so that it shows in no process list."
}

// Run implements the command.
func (hashKeyCommand) Run(a *app) error {
	text, err := io.ReadAll(io.LimitReader(a.Stdin, maxKeyBytes))
	if err != nil {
		return fmt.Errorf("read the key: %w", err)
	}
	key := strings.TrimRight(string(text), "\r\n")
	if key == "" {
		return badInput("no key", "write the bearer key to standard input")
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(a.Stdout, hex.EncodeToString(sum[:]))
	return err
}
