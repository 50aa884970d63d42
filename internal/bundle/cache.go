package bundle

const (
	// maxUnusedSections limits the cached sections, so that forged ones cannot
	// exhaust memory. It has to be at least four: the sections of a roll are
	// appended immediately before it.
	maxUnusedSections = 32
	maxUnusedBytes    = 4 * MaxSectionBytes
)

// sectionCache holds the newest sections that the roll in force does not use, in
// order of arrival.
type sectionCache struct {
	sections []*section
	bytes    int
}

// add caches a section and evicts the oldest ones beyond the limits. A section
// that is already cached becomes the newest.
func (c *sectionCache) add(s *section) {
	for i, old := range c.sections {
		if old.hash == s.hash {
			c.sections = append(append(c.sections[:i:i], c.sections[i+1:]...), old)
			return
		}
	}
	c.sections = append(c.sections, s)
	c.bytes += len(s.data)
	for len(c.sections) > maxUnusedSections || c.bytes > maxUnusedBytes {
		c.bytes -= len(c.sections[0].data)
		c.sections[0] = nil
		c.sections = c.sections[1:]
	}
}

// find returns the cached section with hash h, or nil.
func (c *sectionCache) find(h Hash) *section {
	for _, s := range c.sections {
		if s.hash == h {
			return s
		}
	}
	return nil
}

func (c *sectionCache) clear() { c.sections, c.bytes = nil, 0 }
