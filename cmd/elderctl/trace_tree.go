package main

import (
	"cmp"
	"encoding/hex"
	"slices"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
)

// spanNode is a span with the process that it is from, and its children in order of time.
type spanNode struct {
	*trace.Span
	process  string
	children []*spanNode
}

// traceTree is all spans of a trace. Times are in nanoseconds since 1970, as in the spans.
type traceTree struct {
	id        string
	from, to  uint64
	spans     int
	processes []string
	roots     []*spanNode // whose parent was not exported, in order of time
	request   string      // name of the last root
	outcome   string      // of the last root
}

// buildTraces groups spans by trace, the longest trace first. Of spans with one id the first counts, and a span that is
// its own ancestor becomes a root.
func buildTraces(list []*trace.ResourceSpans) (all []*traceTree) {
	traces := map[string]*traceTree{}
	spans, order := uniqueSpans(list)
	for _, span := range order {
		id := hex.EncodeToString(span.TraceId)
		tree := traces[id]
		if tree == nil {
			tree = &traceTree{id: id, from: span.StartTimeUnixNano}
			traces[id] = tree
			all = append(all, tree)
		}
		tree.add(span, spans)
	}
	slices.SortStableFunc(all, func(a, b *traceTree) int { return cmp.Compare(b.to-b.from, a.to-a.from) })
	return all
}

// spanIndex finds spans by the ids of their trace and of themselves.
type spanIndex map[string]*spanNode

func spanKey(traceID, spanID []byte) string { return string(traceID) + string(spanID) }

// parent returns the parent of a span, or nil if it is not among the spans.
func (x spanIndex) parent(span *spanNode) *spanNode {
	return x[spanKey(span.TraceId, span.ParentSpanId)]
}

// uniqueSpans returns the spans, each once, with their index, in order of their start.
func uniqueSpans(list []*trace.ResourceSpans) (index spanIndex, order []*spanNode) {
	index = spanIndex{}
	for _, rs := range list {
		process := attribute(rs.GetResource().GetAttributes(), "service.instance.id")
		for _, ss := range rs.ScopeSpans {
			for _, span := range ss.Spans {
				key := spanKey(span.TraceId, span.SpanId)
				if index[key] != nil {
					continue
				}
				node := &spanNode{Span: span, process: process}
				index[key] = node
				order = append(order, node)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b *spanNode) int { return cmp.Compare(a.StartTimeUnixNano, b.StartTimeUnixNano) })
	return index, order
}

// add puts a span that starts no earlier than those before it below its parent, or among the roots.
func (t *traceTree) add(span *spanNode, index spanIndex) {
	t.spans++
	t.to = max(t.to, span.EndTimeUnixNano)
	if !slices.Contains(t.processes, span.process) {
		t.processes = append(t.processes, span.process)
	}
	parent := index.parent(span)
	if parent == nil || len(span.ParentSpanId) == 0 || index.isAncestor(span, parent) {
		t.roots = append(t.roots, span)
		t.request, t.outcome = span.Name, attribute(span.Attributes, "elderyard.outcome")
		return
	}
	parent.children = append(parent.children, span)
}

// isAncestor reports whether a span is another itself or an ancestor of it. Spans come from files, so parents may form a
// ring: one that does not contain the span counts as well, since nothing above it is a root.
func (x spanIndex) isAncestor(span, of *spanNode) bool {
	for range len(x) {
		if of == nil {
			return false
		}
		if of == span {
			return true
		}
		of = x.parent(of)
	}
	return true
}
