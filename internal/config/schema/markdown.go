package schema

import (
	"fmt"
	"strings"
)

// Markdown formats options as a table for each section, in the order in which they are declared.
func Markdown(options []Option) string {
	var b strings.Builder
	startTable := func() {
		b.WriteString("\n| option | type | default | bounds | description |\n| --- | --- | --- | --- | --- |\n")
	}
	cellText := func(s string) string {
		if s == "" {
			return "-"
		}
		return strings.ReplaceAll(s, "|", "\\|")
	}
	section := ""
	startTable()
	for i, o := range options {
		if o.Section {
			fmt.Fprintf(&b, "\n## %s\n\n%s%s.\n", o.Path, strings.ToUpper(o.Text[:1]), o.Text[1:])
			if o.Kind != "object" {
				fmt.Fprintf(&b, "A list of objects, %s.\n", strings.Replace(o.Bounds, "0 to", "at most", 1))
			}
			section = o.Path
			if i+1 < len(options) && strings.HasPrefix(options[i+1].Path, section) && !options[i+1].Section {
				startTable()
			}
			continue
		}
		if parent := o.Path[:max(strings.LastIndexByte(o.Path, '.'), 0)]; section != "" && strings.TrimSuffix(parent, "[]") != section {
			section = strings.TrimSuffix(parent, "[]") // an option of the enclosing section, after a nested one
			fmt.Fprintf(&b, "\nMore options of %s:\n", cellText(section))
			startTable()
		}
		bounds := o.Bounds
		if o.Unit != "" {
			bounds = strings.TrimSpace(bounds + " " + o.Unit)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", o.Path, o.Kind, cellText(o.Default), cellText(bounds), cellText(o.Text))
	}
	return b.String()
}
