package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/template"
)

// Markers around the generated tables of the page.
const (
	beginMark = "<!-- begin: written by make capacity -->"
	endMark   = "<!-- end: written by make capacity -->"
)

const tablesTemplate = `## Limits

| limit | projected | allowed | headroom | measured by | carried by |
|---|---|---|---|---|---|
{{range .Limits}}| {{.Limit}} | {{number .Projected}} {{.Unit}} | {{number .Allowed}} {{.Unit}} | {{if .Fits}}{{number .Headroom}} %{{else}}**does not fit**{{end}} | {{.Slopes}} | {{.Mechanism}} |
{{end}}
## Roles, at the peak, for one node unless said otherwise

| role | state | messages | object API | processor | carried by |
|---|---|---|---|---|---|
{{range .Roles}}| {{.Role}} | {{.State}} | {{.Traffic}} | {{.Store}} | {{.CPU}} | {{.Mechanism}} |
{{end}}
## Slopes

Measured on {{.Result.CPUs}} processors with {{.Result.Go}}. Plots: {{range $i, $name := .Plots}}{{if $i}}, {{end}}[{{$name}}](results/capacity-{{$name}}.svg){{end}}.

| series | points (size: value) | unit | intercept | slope | R² | largest residual |
|---|---|---|---|---|---|---|
{{range .Result.Series}}| {{.Name}}, by {{.Of}} | {{range .Points}}{{number .Size}}: {{number .Value}}  {{end}}| {{.Unit}} | {{number .Fit.Intercept}} | {{number .Fit.Slope}} | {{printf "%.3f" .Fit.RSquared}} | {{printf "%.0f" (percent .Fit.MaxResidual)}} % |
{{end}}`

// pageData is the data of the template.
type pageData struct {
	Limits []Row
	Roles  []RoleCost
	Result *Result
	Plots  []string
}

// Render returns the generated part of the page.
func (r *Result) Render() (string, error) {
	functions := template.FuncMap{
		"number":  func(v float64) string { return fmt.Sprintf("%.3g", v) },
		"percent": func(v float64) float64 { return v * 100 },
	}
	t, err := template.New("capacity").Funcs(functions).Parse(tablesTemplate)
	if err != nil {
		return "", fmt.Errorf("parse the template: %w", err)
	}
	var out bytes.Buffer
	if err := t.Execute(&out, pageData{Limits: r.Limits(), Roles: r.Roles(), Result: r, Plots: plottedSeries}); err != nil {
		return "", fmt.Errorf("render the tables: %w", err)
	}
	return out.String(), nil
}

// WritePage replaces the generated part of the page at path.
func (r *Result) WritePage(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the page: %w", err)
	}
	before, rest, ok := strings.Cut(string(content), beginMark)
	_, after, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return fmt.Errorf("%s does not contain the markers %q and %q; add them where the tables belong", path, beginMark, endMark)
	}
	rendered, err := r.Render()
	if err != nil {
		return err
	}
	text := before + beginMark + "\n" + rendered + endMark + after
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}

// WriteJSON writes the measurement to path as JSON.
func (r *Result) WriteJSON(path string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the measurement: %w", err)
	}
	if err := os.WriteFile(path, append(content, '\n'), 0o644); err != nil {
		return fmt.Errorf("write the measurement: %w", err)
	}
	return nil
}

// ReadJSON reads a measurement that WriteJSON has written.
func ReadJSON(path string) (*Result, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the measurement: %w", err)
	}
	r := &Result{}
	if err := json.Unmarshal(content, r); err != nil {
		return nil, fmt.Errorf("decode the measurement: %w", err)
	}
	return r, nil
}
