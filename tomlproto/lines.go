package tomlproto

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex maps the dotted path of a key to its line.
type lineIndex map[string]int

// find returns the line of key, or of the closest table around it, or 0.
func (x lineIndex) find(key string) int {
	for key != "" {
		if line, ok := x[key]; ok {
			return line
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return 0
		}
		key = key[:cut]
	}
	return 0
}

// lineIndexer walks a document's expressions.
type lineIndexer struct {
	data   []byte
	lines  lineIndex
	counts map[string]int
	prefix string
}

func indexLines(data []byte) lineIndex {
	x := lineIndexer{data: data, lines: make(lineIndex), counts: make(map[string]int)}
	parser := unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		x.expression(parser.Expression())
	}
	return x.lines
}

func (x *lineIndexer) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table:
		x.prefix = x.record("", node.Key())
	case unstable.ArrayTable:
		x.prefix = x.arrayElement(node.Key())
	case unstable.KeyValue:
		x.keyValue(x.prefix, node)
	}
}

func (x *lineIndexer) keyValue(prefix string, node *unstable.Node) {
	path := x.record(prefix, node.Key())
	x.value(path, node.Value())
}

func (x *lineIndexer) value(path string, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.keyValue(path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			x.value(fmt.Sprintf("%s[%d]", path, i), children.Node())
		}
	}
}

// record notes the line of a key below prefix and returns its path, in which
// array tables carry the index of their last element.
func (x *lineIndexer) record(prefix string, key unstable.Iterator) string {
	path := prefix
	for key.Next() {
		node := key.Node()
		path = join(path, string(node.Data))
		if _, seen := x.lines[path]; !seen {
			x.lines[path] = x.line(node)
		}
		if count := x.counts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
	}
	return path
}

// arrayElement opens the next element of an array table.
func (x *lineIndexer) arrayElement(key unstable.Iterator) string {
	path := ""
	for key.Next() {
		node := key.Node()
		path = join(path, string(node.Data))
		if key.IsLast() {
			x.counts[path]++
		}
		if count := x.counts[path]; count > 0 {
			path = fmt.Sprintf("%s[%d]", path, count-1)
		}
		if key.IsLast() {
			x.lines[path] = x.line(node)
		}
	}
	return path
}

func (x *lineIndexer) line(node *unstable.Node) int {
	return bytes.Count(x.data[:node.Raw.Offset], []byte("\n")) + 1
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
