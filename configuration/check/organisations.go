package check

import "github.com/arbutuswinch/winch"

func (c *checker) checkOrganisations() {
	list := Path{}.Field(fieldOrganisations)
	if c.configuration.KeysOptional {
		c.warnf(OrganisationsAbsent, list, "there is no list of organisations: no request needs a key")
		return
	}
	if len(c.configuration.Organisations) == 0 {
		c.reportEmpty(list)
	}
	type place struct{ organisation, key int }
	names, first := make([]string, 0, len(c.configuration.Organisations)), map[winch.KeyHash]place{}
	for i, organisation := range c.configuration.Organisations {
		path := list.Index(i)
		names = append(names, string(organisation.ID))
		if len(organisation.Keys) == 0 {
			c.warnf(OrganisationNoKeys, path.Field(fieldKeys), "the organisation has no key: none of its requests is served on routes that require one")
		}
		if organisation.Grade != nil && *organisation.Grade < 0 {
			c.errorf(PriorityNegative, path.Field("Grade"), "the priority is negative: hosts treat -1 as none")
		}
		for j, key := range organisation.Keys {
			keyPath := path.Field(fieldKeys).Index(j)
			if key.Malformed {
				c.errorf(KeyInvalid, keyPath, "the key is empty or has spaces or control characters: no request can carry it")
			}
			earlier, duplicate := first[key.Hash]
			if !duplicate {
				first[key.Hash] = place{organisation: i, key: j}
				continue
			}
			finding := Finding{
				Severity: Warning, Code: KeyTwice, Path: keyPath, Other: list.Index(earlier.organisation).Field(fieldKeys).Index(earlier.key),
				Message: "the organisation has the key " + shortHash(key.Hash) + " twice",
			}
			if earlier.organisation != i {
				finding.Severity, finding.Code = Error, KeyInTwo
				finding.Message = "another organisation has the same key " + shortHash(key.Hash)
			}
			c.add(finding)
		}
	}
	c.names(list, "ID", names)
}

// reportEmpty reports an empty list of organisations, with which hosts refuse every key.
func (c *checker) reportEmpty(list Path) {
	for _, route := range c.configuration.Routes {
		if !route.Open {
			c.errorf(OrganisationsEmpty, list, "the list of organisations is empty: each key is refused, and some route requires one")
			return
		}
	}
	c.warnf(OrganisationsEmpty, list, "the list of organisations is empty: each key is refused")
}

// shortHashLength is the number of digits of a key's hash that are shown. It distinguishes the keys of a configuration.
const shortHashLength = 12

func shortHash(hash winch.KeyHash) string { return hash.String()[:shortHashLength] }
