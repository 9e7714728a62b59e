package cacheproxy.lab.hollow;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where a control plane stands. Planes are numbered, proxies first and control machines after them,
 * and dealt out over the sites in turn; sites over the zones, and zones over the regions, likewise.
 *
 * @param name {@code proxy-0} and up, {@code control-0} and up
 * @param region numbered from 0, as zone and site are
 */
record PlaneLocation(String name, int site, int zone, int region) {

    private static final Pattern AREA = Pattern.compile("(site|zone|region)-(\\d{1,4})");

    /** How far two places are from one another; a link's delay and loss follow from it. */
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
     * Whether an area's word is for this place: {@code *}, a name, or a site, zone or region by its
     * number.
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
