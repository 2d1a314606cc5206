package main

import (
	"cmp"
	"encoding/hex"
	"slices"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
)

// spanNode is a span with its process and its children, ordered by start.
type spanNode struct {
	*trace.Span
	process  string
	children []*spanNode
}

// traceTree holds all spans of a trace. Times are in Unix nanoseconds, as in the spans.
type traceTree struct {
	id         string
	start, end uint64
	spans      int
	processes  []string
	roots      []*spanNode // spans whose parent was not exported, ordered by start
	request    string      // name of the last root
	outcome    string      // of the last root
}

// buildTraces groups spans by trace, the longest trace first. Of spans with the same ID the first is kept, and a span
// that is its own ancestor becomes a root.
func buildTraces(list []*trace.ResourceSpans) (all []*traceTree) {
	traces := map[string]*traceTree{}
	spans, order := uniqueSpans(list)
	for _, span := range order {
		id := hex.EncodeToString(span.TraceId)
		tree := traces[id]
		if tree == nil {
			tree = &traceTree{id: id, start: span.StartTimeUnixNano}
			traces[id] = tree
			all = append(all, tree)
		}
		tree.add(span, spans)
	}
	slices.SortStableFunc(all, func(a, b *traceTree) int { return cmp.Compare(b.end-b.start, a.end-a.start) })
	return all
}

// spanIndex finds spans by trace ID and span ID.
type spanIndex map[string]*spanNode

func spanKey(traceID, spanID []byte) string { return string(traceID) + string(spanID) }

// parent returns the parent of a span, nil if it is not in the index.
func (x spanIndex) parent(span *spanNode) *spanNode {
	return x[spanKey(span.TraceId, span.ParentSpanId)]
}

// uniqueSpans returns the spans without duplicates, ordered by start, and their index.
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

// add adds a span below its parent or as a root. Spans must be added in order of their start.
func (t *traceTree) add(span *spanNode, index spanIndex) {
	t.spans++
	t.end = max(t.end, span.EndTimeUnixNano)
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

// isAncestor reports whether span is the span of, or an ancestor of it. Spans come from files, so parents may form a
// cycle. A cycle that does not contain the span also gives true, since no ancestor of the span is a root then.
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
