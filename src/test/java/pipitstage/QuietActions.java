package pipitstage;

/** Hands of a module that does what no test of it looks at: nothing comes of it. */
abstract class QuietActions implements Policy.Actions {
    @Override
    public void closeIdle(String route) {}

    @Override
    public void tell(int relay, byte[] bytes) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchList() {}

    @Override
    public void log(String text) {}
}
