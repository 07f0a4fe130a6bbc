package logging

import (
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/phuslu/log"
)

var linePool = sync.Pool{New: func() any { return new([]byte) }}

// formatLine writes one event as a line of key=value pairs. The library's own
// logfmt formatter ends each line with the bare message and writes true as a bare
// key, which key=value parsers reject.
func formatLine(out io.Writer, args *log.FormatterArgs) (int, error) {
	buffer := linePool.Get().(*[]byte)
	defer linePool.Put(buffer)
	line := (*buffer)[:0]
	line = append(line, timeField+"="...)
	line = append(line, args.Time...)
	line = append(line, " level="...)
	line = append(line, args.Level...)
	for i := range args.KeyValues {
		kv := &args.KeyValues[i]
		line = append(line, ' ')
		line = append(line, kv.Key...)
		line = append(line, '=')
		line = appendValue(line, kv.Value)
	}
	if args.Message != "" {
		line = append(line, " message="...)
		line = appendValue(line, args.Message)
	}
	line = append(line, '\n')
	*buffer = line
	return out.Write(line)
}

// appendValue appends a value, quoted if it is empty or contains characters that
// would make the line ambiguous.
func appendValue(line []byte, value string) []byte {
	if value == "" || strings.ContainsFunc(value, needsQuote) {
		return strconv.AppendQuote(line, value)
	}
	return append(line, value...)
}

func needsQuote(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == '\\' || r >= 0x7f
}
