/** The links between the machines of a case, some of which may be cut. */
export class Network {
  #cuts = new Set();
  #zones = new Map();
  #listeners = new Set();
  /** All cuts so far, with the times of their beginning and end. */
  #history = [];

  constructor(clock) {
    this.clock = clock;
  }

  addMachine(name, zone) {
    this.#zones.set(name, zone);
  }

  zoneOf(name) {
    return this.#zones.get(name);
  }

  /** Cuts each link for which `matches(a, b)` holds, in either order. */
  cut(matches) {
    const cut = {matches, from: this.clock(), to: Infinity};
    this.#cuts.add(cut);
    this.#history.push(cut);
    this.#changed();
    return {
      repair: () => {
        cut.to = this.clock();
        this.#cuts.delete(cut);
        this.#changed();
      },
    };
  }

  reaches(a, b) {
    for (const cut of this.#cuts) if (isCut(cut, a, b)) return false;
    return true;
  }

  /** Whether any link of a machine was cut between two times. */
  wasDisturbed(machine, from, to) {
    return [...this.#zones.keys()].some(other =>
      this.#history.some(
        cut => isCut(cut, machine, other) && cut.from <= to && cut.to >= from,
      ),
    );
  }

  onChange(listener) {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #changed() {
    for (const listener of [...this.#listeners]) listener();
  }
}

function isCut({matches}, a, b) {
  return matches(a, b) || matches(b, a);
}

/** Cuts a zone off from all other zones; clients still reach it. */
export function zoneCut(network, zone) {
  return network.cut(
    (a, b) => network.zoneOf(a) === zone && network.zoneOf(b) !== zone,
  );
}

/** Cuts two zones off from each other; others reach both. */
export function bridgeCut(network, zone, other) {
  return network.cut(
    (a, b) => network.zoneOf(a) === zone && network.zoneOf(b) === other,
  );
}

/** Cuts a machine off from the store. */
export function storeCut(network, machine) {
  return network.cut((a, b) => a === machine && b === 'store');
}
