package openaiserver

// maxTopologyNames bounds the number of zones and of cells: numbers are 16 bits wide, and the last one is shared.
const maxTopologyNames = 1<<16 - 1

// topology numbers the zones and cells of all endpoint lists since the server's start.
type topology struct {
	zones map[string]uint16
	cells map[string]uint16
}

// newTopology returns a topology without names.
func newTopology() topology {
	return topology{zones: map[string]uint16{}, cells: map[string]uint16{}}
}

// zone returns the number of a zone.
func (t *topology) zone(name string) uint16 { return findOrAssignNumber(t.zones, name) }

// cell returns the number of a cell. Cells of two zones may have the same name.
func (t *topology) cell(zone, name string) uint16 { return findOrAssignNumber(t.cells, zone+"/"+name) }

// findOrAssignNumber returns the number of a name and assigns one to a new name. Names above the bound share one number, which
// only makes the choice of a decode engine worse.
func findOrAssignNumber(numbers map[string]uint16, name string) uint16 {
	number, isKnown := numbers[name]
	if isKnown {
		return number
	}
	if len(numbers) >= maxTopologyNames {
		return maxTopologyNames
	}
	number = uint16(len(numbers))
	numbers[name] = number
	return number
}
