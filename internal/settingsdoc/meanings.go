package main

import (
	"regexp"
	"strings"
)

var (
	sectionLine = regexp.MustCompile(`^\[\[?(?:[a-z_]+\.)*([a-z_]+)\]\]?$`)
	keyLine     = regexp.MustCompile(`^([a-z_0-9]+) = `)
)

// meanings are the comments of an example file.
type meanings struct {
	// keys by SECTION.KEY, sections by name.
	keys, sections map[string]string
	// headers of the sections, as they are written.
	headers map[string]string
	// order of the keys as they stand.
	order []string
}

// readMeanings takes the comment right above a key as its meaning.
func readMeanings(text string) meanings {
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
