package main

import (
	"regexp"
	"strings"
)

var (
	sectionLine = regexp.MustCompile(`^\[\[?(?:[a-z_]+\.)*([a-z_]+)\]\]?$`)
	keyLine     = regexp.MustCompile(`^([a-z_0-9]+) = `)
)

// meanings holds the comments of an example file.
type meanings struct {
	// keys has the comments by SECTION.KEY, sections by section name.
	keys, sections map[string]string
	// headers has the header lines by section name.
	headers map[string]string
	// order lists SECTION.KEY in file order.
	order []string
}

// parseExample parses an example file. The comment directly above a key or section
// header is its meaning.
func parseExample(text string) meanings {
	m := meanings{keys: map[string]string{}, sections: map[string]string{}, headers: map[string]string{}}
	section, comment := "", ""
	for line := range strings.SplitSeq(text, "\n") {
		switch {
		case strings.HasPrefix(line, "#"):
			comment = strings.TrimSpace(comment + " " + strings.TrimSpace(strings.TrimPrefix(line, "#")))
		case line == "":
			comment = ""
		case sectionLine.MatchString(line):
			section = sectionLine.FindStringSubmatch(line)[1]
			m.headers[section] = line
			m.sections[section] = comment
			comment = ""
		case keyLine.MatchString(line):
			id := section + "." + keyLine.FindStringSubmatch(line)[1]
			m.keys[id] = comment
			m.order = append(m.order, id)
			comment = ""
		}
	}
	return m
}
