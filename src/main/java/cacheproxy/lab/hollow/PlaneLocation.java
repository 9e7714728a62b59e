package cacheproxy.lab.hollow;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Location of a control plane. Control planes are numbered, first the proxies and then the control
 * machines. Proxies and control machines are each assigned to the sites round-robin, the sites to
 * the zones, and the zones to the regions.
 *
 * @param name {@code proxy-N} or {@code control-N}, numbered from 0
 * @param site numbered from 0
 * @param zone numbered from 0
 * @param region numbered from 0
 */
record PlaneLocation(String name, int site, int zone, int region) {

    private static final Pattern AREA = Pattern.compile("(site|zone|region)-(\\d{1,4})");

    /**
     * The smallest area that two locations share; {@code FAR} if they share none. It determines the
     * delay and loss of a link.
     */
    enum Distance {
        SITE,
        ZONE,
        REGION,
        FAR
    }

    static PlaneLocation of(int number, ScaleExperiment.Fleet fleet, int proxies) {
        int site = (number < proxies ? number : number - proxies) % fleet.sites();
        int zone = site % fleet.zones();
        return new PlaneLocation(
                number < proxies ? "proxy-" + number : "control-" + (number - proxies),
                site,
                zone,
                zone % fleet.regions());
    }

    Distance distanceTo(PlaneLocation other) {
        return site == other.site
                ? Distance.SITE
                : zone == other.zone
                        ? Distance.ZONE
                        : region == other.region ? Distance.REGION : Distance.FAR;
    }

    /**
     * Whether this location is in an area: {@code *} for everywhere, the name of a control plane,
     * or {@code site-N}, {@code zone-N} or {@code region-N}.
     */
    boolean isIn(String area) {
        Matcher m = AREA.matcher(area);
        if (!m.matches()) {
            return area.equals("*") || area.equals(name);
        }
        int number = Integer.parseInt(m.group(2));
        return number
                == switch (m.group(1)) {
                    case "site" -> site;
                    case "zone" -> zone;
                    default -> region;
                };
    }
}
