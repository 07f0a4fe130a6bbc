package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// table formats a result in aligned columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// printJSON writes one indented JSON value.
func (a *app) printJSON(v any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// rawMessage encodes a protobuf message for use within a JSON value.
func rawMessage(m proto.Message) (json.RawMessage, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode JSON: %w", err)
	}
	return text, nil
}

// printMessage writes a protobuf message as indented JSON.
func (a *app) printMessage(m proto.Message) error {
	text, err := rawMessage(m)
	if err != nil {
		return err
	}
	return a.printJSON(text)
}
