package schema

import (
	"fmt"
	"strings"
)

// Markdown words options as one table a section, in the order in which they are declared.
func Markdown(options []Option) string {
	var b strings.Builder
	table := func() {
		b.WriteString("\n| option | type | default | bounds | what it is |\n| --- | --- | --- | --- | --- |\n")
	}
	cell := func(s string) string {
		if s == "" {
			return "-"
		}
		return strings.ReplaceAll(s, "|", "\\|")
	}
	section := ""
	table()
	for i, o := range options {
		if o.Section {
			fmt.Fprintf(&b, "\n## %s\n\n%s%s.\n", o.Path, strings.ToUpper(o.Text[:1]), o.Text[1:])
			if o.Kind != "object" {
				fmt.Fprintf(&b, "A list of objects, %s.\n", strings.Replace(o.Bounds, "0 to", "at most", 1))
			}
			section = o.Path
			if i+1 < len(options) && strings.HasPrefix(options[i+1].Path, section) && !options[i+1].Section {
				table()
			}
			continue
		}
		if at := o.Path[:max(strings.LastIndexByte(o.Path, '.'), 0)]; section != "" && strings.TrimSuffix(at, "[]") != section {
			section = strings.TrimSuffix(at, "[]") // back in the section around
			fmt.Fprintf(&b, "\nFurther in %s:\n", cell(section))
			table()
		}
		bounds := o.Bounds
		if o.Unit != "" {
			bounds = strings.TrimSpace(bounds + " " + o.Unit)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", o.Path, o.Kind, cell(o.Default), cell(bounds), cell(o.Text))
	}
	return b.String()
}
