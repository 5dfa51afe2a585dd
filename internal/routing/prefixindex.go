package routing

// noPosition terminates the linked list of entries.
const noPosition = -1

// prefixIndex is a bounded set of the prefix hashes that an engine is expected to
// have cached, in LRU order. When it is full, the least recently used hash is
// evicted, as in the engine's cache.
type prefixIndex struct {
	positions map[uint64]int32
	entries   []prefixEntry
	free      []int32
	newest    int32
	oldest    int32
	limit     int
}

// prefixEntry is one element of a doubly linked list in prefixIndex.entries.
type prefixEntry struct {
	hash         uint64
	newer, older int32
}

func newPrefixIndex(limit int) prefixIndex {
	x := prefixIndex{limit: max(limit, 1)}
	x.clear()
	return x
}

func (x *prefixIndex) clear() {
	x.positions = map[uint64]int32{}
	x.entries, x.free = nil, nil
	x.newest, x.oldest = noPosition, noPosition
}

func (x *prefixIndex) len() int { return len(x.positions) }

// touch inserts a hash or marks it as the most recently used one.
func (x *prefixIndex) touch(hash uint64) {
	if position, ok := x.positions[hash]; ok {
		x.unlink(position)
		x.linkNewest(position)
		return
	}
	if len(x.positions) >= x.limit {
		x.evictOldest(1)
	}
	position := x.allocate()
	x.entries[position].hash = hash
	x.positions[hash] = position
	x.linkNewest(position)
}

// touchChain marks all hashes of a prompt as used. Later blocks are useless without
// the earlier ones, so the first block becomes the most recently used one.
func (x *prefixIndex) touchChain(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		x.touch(chain[i])
	}
}

func (x *prefixIndex) allocate() int32 {
	if last := len(x.free) - 1; last >= 0 {
		position := x.free[last]
		x.free = x.free[:last]
		return position
	}
	x.entries = append(x.entries, prefixEntry{})
	return int32(len(x.entries) - 1)
}

func (x *prefixIndex) remove(hash uint64) {
	position, ok := x.positions[hash]
	if !ok {
		return
	}
	x.unlink(position)
	delete(x.positions, hash)
	x.free = append(x.free, position)
}

// evictOldest removes the least recently used hashes.
func (x *prefixIndex) evictOldest(count int) {
	for range min(count, x.len()) {
		x.remove(x.entries[x.oldest].hash)
	}
}

func (x *prefixIndex) linkNewest(position int32) {
	entry := &x.entries[position]
	entry.newer, entry.older = noPosition, x.newest
	if x.newest == noPosition {
		x.oldest = position
	} else {
		x.entries[x.newest].newer = position
	}
	x.newest = position
}

func (x *prefixIndex) unlink(position int32) {
	entry := x.entries[position]
	if entry.newer == noPosition {
		x.newest = entry.older
	} else {
		x.entries[entry.newer].older = entry.older
	}
	if entry.older == noPosition {
		x.oldest = entry.newer
	} else {
		x.entries[entry.older].newer = entry.newer
	}
}

// matchLength returns how many leading elements of a chain are in the index. An
// engine can use a block only if all blocks before it are cached.
func (x *prefixIndex) matchLength(chain []uint64) int {
	for i, hash := range chain {
		if _, ok := x.positions[hash]; !ok {
			return i
		}
	}
	return len(chain)
}
