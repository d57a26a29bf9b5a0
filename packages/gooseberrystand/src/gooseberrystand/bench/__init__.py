"""Load tool: open-loop load on real processes, faults at given moments, reports."""
