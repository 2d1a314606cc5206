package capacity

import (
	"encoding/xml"
	"fmt"
	"strings"
)

// Layout of the SVG, in pixels unless noted otherwise.
const (
	panelWidth   = 320.0
	panelHeight  = 220.0
	panelColumns = 3
	marginLeft   = 60.0
	marginRight  = 14.0
	marginTop    = 38.0
	marginBottom = 40.0
	curveSteps   = 40   // line segments per fitted curve
	axisHeadroom = 1.08 // length of an axis as a multiple of the largest value on it
)

// CurvesSVG returns an SVG with one panel for each slope that was measured at two sizes or more. A panel shows
// the measured points (hollow for trials), the fit (dashed beyond the largest measured size, as far as it is
// trusted) and the size of the site (a dotted line).
func (p *Plan) CurvesSVG() string {
	var drawn []*SlopeLine
	for i := range p.Slopes {
		if s := &p.Slopes[i]; s.hasSeveralSizes() {
			drawn = append(drawn, s)
		}
	}
	rows := (len(drawn) + panelColumns - 1) / panelColumns
	var svg strings.Builder
	width, height := panelWidth*panelColumns, panelHeight*float64(max(rows, 1))
	fmt.Fprintf(&svg, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %g %g" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&svg, `<rect width="%g" height="%g" fill="white"/>`+"\n", width, height)
	for i, s := range drawn {
		newPanel(s, float64(i%panelColumns)*panelWidth, float64(i/panelColumns)*panelHeight).draw(&svg)
	}
	svg.WriteString("</svg>\n")
	return svg.String()
}

// hasSeveralSizes reports whether the points cover two sizes or more.
func (s *SlopeLine) hasSeveralSizes() bool {
	for _, p := range s.Points {
		if p.Size != s.Points[0].Size {
			return true
		}
	}
	return false
}

// panel draws one slope. x and y are its top left corner; the scales are in pixels per unit.
type panel struct {
	slope             *SlopeLine
	fit               Fit
	x, y              float64
	scaleX, scaleY    float64
	maxSize, maxValue float64 // ends of the axes
	maxTrustedSize    float64 // the largest size to which the fit is trusted
}

// newPanel computes the scales of a slope's panel.
func newPanel(s *SlopeLine, x, y float64) *panel {
	p := &panel{slope: s, fit: FitPoints(s.Form, s.Points), x: x, y: y}
	p.maxTrustedSize = p.fit.LargestSize * MaxExtrapolation
	if s.Form == Interpolated {
		p.maxTrustedSize = p.fit.LargestSize
	}
	largest := max(s.TargetSize, p.fit.LargestSize)
	p.maxSize = largest * axisHeadroom
	for _, point := range s.Points {
		p.maxValue = max(p.maxValue, point.Value)
	}
	if value, ok := p.fit.At(min(largest, p.maxTrustedSize)); ok {
		p.maxValue = max(p.maxValue, value)
	}
	p.maxValue *= axisHeadroom
	if p.maxValue == 0 {
		p.maxValue = 1
	}
	p.scaleX = (panelWidth - marginLeft - marginRight) / p.maxSize
	p.scaleY = (panelHeight - marginTop - marginBottom) / p.maxValue
	return p
}

// pixelX and pixelY return the position of a size and of a value.
func (p *panel) pixelX(size float64) float64 { return p.x + marginLeft + size*p.scaleX }
func (p *panel) pixelY(value float64) float64 {
	return p.y + panelHeight - marginBottom - value*p.scaleY
}

// draw writes the titles, axes, fitted curve and points.
func (p *panel) draw(out *strings.Builder) {
	s := p.slope
	p.drawText(out, p.x+marginLeft, p.y+16, "start", s.Measure+", "+s.Unit)
	p.drawText(out, p.x+marginLeft, p.y+30, "start", s.Fit)
	p.drawLine(out, 0, 0, p.maxSize, 0, "black", "")
	p.drawLine(out, 0, 0, 0, p.maxValue, "black", "")
	p.drawLine(out, s.TargetSize, 0, s.TargetSize, p.maxValue, "gray", "1 3")
	p.drawText(out, p.pixelX(s.TargetSize), p.pixelY(0)+14, "middle", formatNumber(s.TargetSize))
	p.drawText(out, p.pixelX(p.maxSize/2), p.pixelY(0)+28, "middle", string(s.Dimension))
	p.drawText(out, p.pixelX(0)-4, p.pixelY(p.maxValue/axisHeadroom)+4, "end", p.maxValueLabel())
	p.drawText(out, p.pixelX(0)-4, p.pixelY(0)+4, "end", "0")
	p.drawCurve(out, p.fit.SmallestSize, p.fit.LargestSize, "")
	p.drawCurve(out, p.fit.LargestSize, min(p.maxTrustedSize, max(s.TargetSize, p.fit.LargestSize)), "5 4")
	fill := "steelblue"
	if s.Trial {
		fill = "white"
	}
	for _, point := range s.Points {
		fmt.Fprintf(out, `<circle cx="%.1f" cy="%.1f" r="3.5" fill="%s" stroke="steelblue"/>`+"\n", p.pixelX(point.Size), p.pixelY(point.Value), fill)
	}
}

// maxValueLabel returns the label of the largest value on the axis. The title gives the unit, except that bytes
// are scaled to a larger one here.
func (p *panel) maxValueLabel() string {
	top := p.maxValue / axisHeadroom
	if strings.HasPrefix(p.slope.Unit, "B") {
		return formatWithUnit(top, p.slope.Unit)
	}
	return formatNumber(top)
}

// drawCurve draws the fit from one size to another.
func (p *panel) drawCurve(out *strings.Builder, from, to float64, dashes string) {
	if to <= from {
		return
	}
	var points []string
	for i := range curveSteps + 1 {
		size := from + (to-from)*float64(i)/curveSteps
		if value, ok := p.fit.At(min(size, to)); ok {
			points = append(points, fmt.Sprintf("%.1f,%.1f", p.pixelX(size), p.pixelY(max(value, 0))))
		}
	}
	fmt.Fprintf(out, `<polyline points="%s" fill="none" stroke="firebrick" stroke-dasharray="%s"/>`+"\n", strings.Join(points, " "), dashes)
}

// drawLine draws a line between two points that are given as sizes and values.
func (p *panel) drawLine(out *strings.Builder, fromSize, fromValue, toSize, toValue float64, color, dashes string) {
	fmt.Fprintf(out, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="%s" stroke-dasharray="%s"/>`+"\n",
		p.pixelX(fromSize), p.pixelY(fromValue), p.pixelX(toSize), p.pixelY(toValue), color, dashes)
}

// drawText writes text at a position in pixels.
func (p *panel) drawText(out *strings.Builder, x, y float64, anchor, text string) {
	fmt.Fprintf(out, `<text x="%.1f" y="%.1f" text-anchor="%s">`, x, y, anchor)
	xml.EscapeText(out, []byte(text))
	out.WriteString("</text>\n")
}
