import java.lang.reflect.InvocationTargetException;

/** Runs the case that the first argument names; whatever goes wrong in the case itself is no verdict. */
final class Case {
    public static void main(String[] args) {
        try {
            String[] folder = {args[1]};
            Class.forName(args[0]).getDeclaredMethod("main", String[].class).invoke(null, (Object) folder);
        } catch (InvocationTargetException e) {
            System.out.println("could not run: " + e.getCause());
            System.exit(Rig.COULD_NOT_RUN);
        } catch (ReflectiveOperationException | RuntimeException e) {
            System.out.println("could not run: " + e);
            System.exit(Rig.COULD_NOT_RUN);
        }
    }
}
