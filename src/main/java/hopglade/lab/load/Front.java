package hopglade.lab.load;

import java.util.List;

/** The plain front: deals requests out in turn over the proxies in service in a zone, or over all where that zone has none. */
public final class Front {

    private final List<Integer> zones;
    private final boolean[] inService;
    private int turn;

    /** {@code zones} holds each proxy's zone, by its number. */
    public Front(List<Integer> zones) {
        this.zones = zones;
        this.inService = new boolean[zones.size()];
    }

    public void inService(int proxy, boolean on) {
        inService[proxy] = on;
    }

    /** The next proxy for a client of a zone, or -1 where none is in service. */
    public int pick(int zone) {
        for (boolean anywhere : new boolean[] {false, true}) {
            for (int i = 0; i < inService.length; i++) {
                int proxy = Math.floorMod(turn + i, inService.length);
                if (inService[proxy] && (anywhere || zones.get(proxy) == zone)) {
                    turn = proxy + 1;
                    return proxy;
                }
            }
        }
        return -1;
    }
}
