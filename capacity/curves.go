package capacity

import (
	"encoding/xml"
	"fmt"
	"strings"
)

// The layout of the picture, in pixels.
const (
	panelWidth   = 320.0
	panelHeight  = 220.0
	panelColumns = 3
	marginLeft   = 60.0
	marginRight  = 14.0
	marginTop    = 38.0
	marginBottom = 40.0
	curveSteps   = 40
	axisRoom     = 1.08 // axes reach so far beyond the largest value
)

// CurvesSVG is an SVG picture of every slope that has two sizes or more: a panel
// each with its points (hollow for trials), the fit (dashed beyond the largest size measured, as
// far as it is trusted) and the size of the site (a dotted line).
func (p *Plan) CurvesSVG() string {
	var shown []*SlopeLine
	for i := range p.Slopes {
		if s := &p.Slopes[i]; s.hasSizes() {
			shown = append(shown, s)
		}
	}
	rows := (len(shown) + panelColumns - 1) / panelColumns
	var picture strings.Builder
	width, height := panelWidth*panelColumns, panelHeight*float64(max(rows, 1))
	fmt.Fprintf(&picture, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %g %g" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&picture, `<rect width="%g" height="%g" fill="white"/>`+"\n", width, height)
	for i, s := range shown {
		newPanel(s, float64(i%panelColumns)*panelWidth, float64(i/panelColumns)*panelHeight).draw(&picture)
	}
	picture.WriteString("</svg>\n")
	return picture.String()
}

// hasSizes tells whether the points are of two sizes or more.
func (s *SlopeLine) hasSizes() bool {
	for _, p := range s.Points {
		if p.Size != s.Points[0].Size {
			return true
		}
	}
	return false
}

// panel draws one slope; x and y are the corner, the scales are pixels a unit.
type panel struct {
	slope          *SlopeLine
	fit            Fit
	x, y           float64
	scaleX, scaleY float64
	reachX, reachY float64 // the largest size and value on the axes
	trusted        float64 // the largest size that the fit is trusted at
}

func newPanel(s *SlopeLine, x, y float64) *panel {
	p := &panel{slope: s, fit: FitPoints(s.Form, s.Points), x: x, y: y}
	p.trusted = p.fit.Largest * TrustedReach
	if s.Form == Interpolated {
		p.trusted = p.fit.Largest
	}
	largest := max(s.At, p.fit.Largest)
	p.reachX = largest * axisRoom
	for _, point := range s.Points {
		p.reachY = max(p.reachY, point.Value)
	}
	if value, ok := p.fit.At(min(largest, p.trusted)); ok {
		p.reachY = max(p.reachY, value)
	}
	p.reachY *= axisRoom
	if p.reachY == 0 {
		p.reachY = 1
	}
	p.scaleX = (panelWidth - marginLeft - marginRight) / p.reachX
	p.scaleY = (panelHeight - marginTop - marginBottom) / p.reachY
	return p
}

// across and down place a size and a value.
func (p *panel) across(size float64) float64 { return p.x + marginLeft + size*p.scaleX }
func (p *panel) down(value float64) float64 {
	return p.y + panelHeight - marginBottom - value*p.scaleY
}

func (p *panel) draw(out *strings.Builder) {
	s := p.slope
	p.text(out, p.x+marginLeft, p.y+16, "start", s.Measure+", "+s.Unit)
	p.text(out, p.x+marginLeft, p.y+30, "start", s.Fit)
	p.line(out, 0, 0, p.reachX, 0, "black", "")
	p.line(out, 0, 0, 0, p.reachY, "black", "")
	p.line(out, s.At, 0, s.At, p.reachY, "gray", "1 3")
	p.text(out, p.across(s.At), p.down(0)+14, "middle", number(s.At))
	p.text(out, p.across(p.reachX/2), p.down(0)+28, "middle", string(s.Dimension))
	p.text(out, p.across(0)-4, p.down(p.reachY/axisRoom)+4, "end", p.topLabel())
	p.text(out, p.across(0)-4, p.down(0)+4, "end", "0")
	p.curve(out, p.fit.Least, p.fit.Largest, "")
	p.curve(out, p.fit.Largest, min(p.trusted, max(s.At, p.fit.Largest)), "5 4")
	fill := "steelblue"
	if s.Trial {
		fill = "white"
	}
	for _, point := range s.Points {
		fmt.Fprintf(out, `<circle cx="%.1f" cy="%.1f" r="3.5" fill="%s" stroke="steelblue"/>`+"\n", p.across(point.Size), p.down(point.Value), fill)
	}
}

// topLabel is the largest value on the axis; the unit stands in the title, but
// for bytes in a larger one.
func (p *panel) topLabel() string {
	top := p.reachY / axisRoom
	if strings.HasPrefix(p.slope.Unit, "B") {
		return withUnit(top, p.slope.Unit)
	}
	return number(top)
}

// curve draws the fit from one size to another.
func (p *panel) curve(out *strings.Builder, from, to float64, dashes string) {
	if to <= from {
		return
	}
	var points []string
	for i := range curveSteps + 1 {
		size := from + (to-from)*float64(i)/curveSteps
		if value, ok := p.fit.At(min(size, to)); ok {
			points = append(points, fmt.Sprintf("%.1f,%.1f", p.across(size), p.down(max(value, 0))))
		}
	}
	fmt.Fprintf(out, `<polyline points="%s" fill="none" stroke="firebrick" stroke-dasharray="%s"/>`+"\n", strings.Join(points, " "), dashes)
}

func (p *panel) line(out *strings.Builder, fromSize, fromValue, toSize, toValue float64, color, dashes string) {
	fmt.Fprintf(out, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s" stroke-dasharray="%s"/>`+"\n",
		p.across(fromSize), p.down(fromValue), p.across(toSize), p.down(toValue), color, dashes)
}

func (p *panel) text(out *strings.Builder, x, y float64, anchor, text string) {
	fmt.Fprintf(out, `<text x="%.1f" y="%.1f" text-anchor="%s">`, x, y, anchor)
	xml.EscapeText(out, []byte(text))
	out.WriteString("</text>\n")
}
