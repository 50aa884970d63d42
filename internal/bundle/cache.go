package bundle

const (
	// Sections that no roll uses are kept only until this many have followed,
	// so that forged sections cannot grow memory. A roll's own sections are
	// appended right before it and there are four of them.
	maxUnusedSections = 32
	maxUnusedBytes    = 4 * MaxSectionBytes
)

// sectionCache keeps the latest sections that no roll in force uses, in order
// of arrival.
type sectionCache struct {
	list  []*section
	bytes int
}

// add keeps a section. A repeated section counts as the newest.
func (c *sectionCache) add(s *section) {
	for i, old := range c.list {
		if old.hash == s.hash {
			c.list = append(append(c.list[:i:i], c.list[i+1:]...), old)
			return
		}
	}
	c.list = append(c.list, s)
	c.bytes += len(s.data)
	for len(c.list) > maxUnusedSections || c.bytes > maxUnusedBytes {
		c.bytes -= len(c.list[0].data)
		c.list[0] = nil
		c.list = c.list[1:]
	}
}

func (c *sectionCache) find(h Hash) *section {
	for _, s := range c.list {
		if s.hash == h {
			return s
		}
	}
	return nil
}

func (c *sectionCache) clear() { c.list, c.bytes = nil, 0 }
